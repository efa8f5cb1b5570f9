//! Property test of the joint policy, compared with an exhaustive search over all pairs.

use std::time::{Duration, Instant};

use hibiscusspread::process::placement::{
    Choice, JointPolicy, PlacementInput, Policy, Prediction, PrefillCandidate, TargetCandidate,
    Transfer,
};
use hibiscusspread::process::pool::settings::PlacementSettings;
use proptest::prelude::*;

/// The tolerance in seconds. Predictions have whole nanoseconds, so that a smaller difference in cost is a rounding
/// error.
const TOLERANCE: f64 = 1e-9;

/// Wait in milliseconds, cached tokens and rate in tokens a second of a prefill engine. Few distinct values, so that
/// many engines are equal.
type Prefill = (u64, u64, u64);
/// Running requests, link rate in tokens a second, and start and length of transfers in milliseconds.
type Target = (u32, u64, Vec<(u64, u64)>);

fn prefills() -> impl Strategy<Value = Vec<Prefill>> {
    let wait = prop_oneof![Just(0), 0..250_u64];
    let cached = (0..4_u64).prop_map(|pieces| 2_000 * pieces);
    let rate = prop_oneof![Just(20_000_u64), Just(80_000)];
    prop::collection::vec((wait, cached, rate), 0..40)
}

fn targets() -> impl Strategy<Value = Vec<Target>> {
    let link_rate = prop_oneof![Just(80_000_u64), Just(400_000)];
    let transfers = prop::collection::vec((0..600_u64, 1..80_u64), 0..6);
    prop::collection::vec((0..20_u32, link_rate, transfers), 0..12)
}

fn settings() -> impl Strategy<Value = PlacementSettings> {
    let weight = || prop_oneof![3 => Just(1.0), 1 => Just(0.0), 1 => 0.0..4.0];
    let link_wait = prop_oneof![Just(0), Just(50), Just(500)].prop_map(Duration::from_millis);
    (weight(), weight(), weight(), weight(), link_wait).prop_map(
        |(queue, prefill, transfer, decode, link_wait)| PlacementSettings {
            queue_weight: queue,
            prefill_weight: prefill,
            transfer_weight: transfer,
            decode_weight: decode,
            link_wait,
            ..PlacementSettings::default()
        },
    )
}

/// Returns the lowest cost in seconds over all pairs that `is_allowed` accepts.
fn lowest_cost(
    settings: &PlacementSettings,
    input: &PlacementInput<'_>,
    is_allowed: impl Fn(Choice, &Prediction) -> bool,
) -> Option<f64> {
    let count = input.prefills.len();
    let prefills = || (0..count.max(1)).map(|index| (count > 0).then_some(index));
    (0..input.targets.len())
        .flat_map(|target| prefills().map(move |prefill| Choice { prefill, target }))
        .map(|choice| (choice, Prediction::new(settings, input, choice)))
        .filter(|(choice, prediction)| is_allowed(*choice, prediction))
        .map(|(_, prediction)| prediction.weighted_seconds(settings))
        .min_by(f64::total_cmp)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a search that skips the best pair, chooses one above a limit, or finds none although one exists.
    #[test]
    fn search_costs_as_little_as_the_best_of_all_pairs(
        settings in settings(), prefills in prefills(), targets in targets(),
    ) {
        let now = Instant::now();
        let ms = Duration::from_millis;
        let transfers: Vec<Vec<_>> = targets.iter().map(|(_, _, transfers)| {
            let transfers = transfers.iter();
            transfers.map(|(start, length)| Transfer {
                start: now + ms(*start),
                end: now + ms(start + length),
            }).collect()
        }).collect();
        let prefills: Vec<_> = prefills.iter().map(|(wait, cached, rate)| PrefillCandidate {
            id: "prefill".into(),
            running: 0,
            wait: ms(*wait),
            cached: *cached,
            rate: *rate,
        }).collect();
        let targets: Vec<_> = targets.iter().zip(&transfers).map(|((running, link_rate, _), transfers)| TargetCandidate {
            id: "target".into(),
            running: *running,
            slots: 20,
            link_rate: *link_rate,
            transfers,
        }).collect();
        let input = PlacementInput { now, prompt_tokens: 8_000, prefills: &prefills, targets: &targets };
        let cost = |choice| Prediction::new(&settings, &input, choice).weighted_seconds(&settings);

        let chosen = JointPolicy.choose(&settings, &input);
        let keeps_limits = |_, p: &Prediction| {
            p.queue <= settings.prefill_wait && p.link_wait <= settings.link_wait
        };
        let best = lowest_cost(&settings, &input, keeps_limits);
        prop_assert_eq!(chosen.is_some(), best.is_some());
        if let (Some(chosen), Some(best)) = (chosen, best) {
            prop_assert!(keeps_limits(chosen, &Prediction::new(&settings, &input, chosen)));
            prop_assert!((cost(chosen) - best).abs() < TOLERANCE, "{} > {best}", cost(chosen));

            let next = JointPolicy.runner_up(&settings, &input, chosen);
            let best = lowest_cost(&settings, &input, |choice, _| choice != chosen);
            prop_assert!(next != Some(chosen));
            prop_assert_eq!(next.is_some(), best.is_some());
            if let (Some(next), Some(best)) = (next, best) {
                prop_assert!((cost(next) - best).abs() < TOLERANCE, "{} > {best}", cost(next));
            }
        }
    }
}
