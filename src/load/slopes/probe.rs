//! Reads processor time and memory of this process from `/proc`.

use std::any::Any;
use std::fs;
use std::time::Duration;

use crate::load::slopes::{MeasureError, Sizes};

/// The size of a page in `statm`; 4 KiB on the platforms that this tool runs on.
const PAGE_BYTES: f64 = 4096.0;

/// Objects that stay in memory while other memory is measured.
#[derive(Default)]
pub struct RetainedObjects(Vec<Box<dyn Any>>);

impl RetainedObjects {
    /// Keeps what `build` returns and returns the growth of the resident set in bytes.
    ///
    /// # Errors
    /// Returns the error of `/proc`.
    pub fn growth<T: Any>(&mut self, build: impl FnOnce() -> T) -> Result<f64, MeasureError> {
        let before = resident_bytes()?;
        self.0.push(Box::new(build()));
        Ok(resident_bytes()? - before)
    }
}

/// Returns the resident set of this process in bytes.
///
/// # Errors
/// Returns the error of `/proc`.
pub fn resident_bytes() -> Result<f64, MeasureError> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1);
    let pages: Option<f64> = pages.and_then(|pages| pages.parse().ok());
    let pages = pages.ok_or_else(|| MeasureError("statm not readable".to_owned()))?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the processor time of this thread in microseconds.
///
/// # Errors
/// Returns the error of `/proc`.
pub fn thread_cpu() -> Result<f64, MeasureError> {
    // The kernel brings the figure of a running thread up to date only at its tick and when the thread blocks.
    std::thread::sleep(Duration::from_micros(1));
    parse_schedstat(&fs::read_to_string("/proc/thread-self/schedstat")?)
}

/// Returns the processor time of all threads of this process whose names start with `prefix`, in microseconds.
///
/// # Errors
/// Returns the error of `/proc`.
pub fn threads_cpu(prefix: &str) -> Result<f64, MeasureError> {
    let mut sum = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // A thread may end between the listing and the reading.
        let Ok(name) = fs::read_to_string(task.join("comm")) else {
            continue;
        };
        if name.starts_with(prefix)
            && let Ok(stat) = fs::read_to_string(task.join("schedstat"))
        {
            sum += parse_schedstat(&stat)?;
        }
    }
    Ok(sum)
}

fn parse_schedstat(stat: &str) -> Result<f64, MeasureError> {
    let nanos = stat.split_whitespace().next().and_then(|n| n.parse().ok());
    nanos
        .map(|nanos: u64| nanos as f64 / 1e3)
        .ok_or_else(|| MeasureError("schedstat not readable".to_owned()))
}

/// Returns the median of values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Returns the median processor time of an operation in microseconds. `batch` runs some operations and returns their
/// number; a batch of about a millisecond makes the cost of reading the clock small.
///
/// # Errors
/// Returns the error of `/proc`.
pub fn cpu_of(sizes: &Sizes, mut batch: impl FnMut() -> usize) -> Result<f64, MeasureError> {
    let [value] = cpu_of_each(sizes, [&mut batch])?;
    Ok(value)
}

/// As `cpu_of` for operations that alternate, such as one that fills and one that empties.
///
/// # Errors
/// Returns the error of `/proc`.
pub fn cpu_of_each<const N: usize>(
    sizes: &Sizes,
    mut batches: [&mut dyn FnMut() -> usize; N],
) -> Result<[f64; N], MeasureError> {
    let reading = clock_cost()?;
    let mut values: [Vec<f64>; N] = std::array::from_fn(|_| Vec::new());
    for _ in 0..sizes.repeats {
        let mut used = [0.0; N];
        let mut done = [0; N];
        // The cost of reading the clock counts here. Without it, short batches add nothing once that cost was measured too
        // high on a busy machine, and the loop has no end.
        let mut spent = 0.0;
        while spent < micros(sizes.min_cpu_time) {
            for (index, batch) in batches.iter_mut().enumerate() {
                let start = thread_cpu()?;
                done[index] += batch();
                let taken = thread_cpu()? - start;
                spent += taken;
                used[index] += taken - reading;
            }
        }
        for index in 0..N {
            values[index].push(used[index] / done[index].max(1) as f64);
        }
    }
    Ok(values.map(median))
}

/// Returns the processor time of reading the clock, in microseconds.
fn clock_cost() -> Result<f64, MeasureError> {
    let mut costs = Vec::new();
    for _ in 0..51 {
        let start = thread_cpu()?;
        costs.push(thread_cpu()? - start);
    }
    Ok(median(costs))
}

/// Returns a time in microseconds.
pub fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
