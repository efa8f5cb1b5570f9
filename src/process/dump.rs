//! The dump of a process's state, collected from sections that each show one component.

use std::sync::Arc;

use serde::Serialize;
use serde_json::{Map, Value};

/// A component that shows its state in the dump.
pub trait DumpSection: Send + Sync {
    /// Returns the section's key in the dump.
    fn name(&self) -> &'static str;
    /// Returns the component's current state.
    fn view(&self) -> Value;
}

/// The sections of the dump.
#[derive(Default)]
pub struct Dump {
    sections: Vec<Arc<dyn DumpSection>>,
}

impl Dump {
    /// Adds a section; a later one with the same name replaces it.
    #[must_use]
    pub fn with(mut self, section: Arc<dyn DumpSection>) -> Self {
        self.sections.push(section);
        self
    }

    /// Adds a section whose state `view` returns each time.
    #[must_use]
    pub fn with_view<T: Serialize>(
        self,
        name: &'static str,
        view: impl Fn() -> T + Send + Sync + 'static,
    ) -> Self {
        let view = move || serde_json::to_value(view()).unwrap_or_default();
        self.with(Arc::new(ViewSection { name, view }))
    }

    /// Returns the whole dump as one JSON object.
    pub fn collect(&self) -> Value {
        let sections = self.sections.iter();
        let object: Map<_, _> = sections.map(|s| (s.name().to_owned(), s.view())).collect();
        Value::Object(object)
    }
}

struct ViewSection<F> {
    name: &'static str,
    view: F,
}

impl<F: Fn() -> Value + Send + Sync> DumpSection for ViewSection<F> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn view(&self) -> Value {
        (self.view)()
    }
}
