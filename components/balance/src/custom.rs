//! A choice of the embedder's own in place of this crate's.

use std::fmt;
use std::time::Duration;

/// What a custom choice sees of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateView {
    /// Position of the server in the group, the same from one choice to the next.
    pub index: usize,
    /// Requests that this entry VM has sent and that have not ended.
    pub local_in_flight: u32,
    /// Requests in flight by the last load report.
    pub reported_in_flight: f64,
    /// Age of the last load report.
    pub report_age: Duration,
}

/// Chooses one of the candidates by its position in the slice. Servers that are leaving or have no
/// free connection are not among the candidates; ejection and estimates are up to the choice.
pub struct CustomChoice(Box<ChooseFn>);

type ChooseFn = dyn FnMut(&[CandidateView]) -> usize + Send;

impl CustomChoice {
    /// A choice by a closure.
    pub fn new(choose: impl FnMut(&[CandidateView]) -> usize + Send + 'static) -> Self {
        Self(Box::new(choose))
    }

    pub(crate) fn choose(&mut self, candidates: &[CandidateView]) -> Option<CandidateView> {
        if candidates.is_empty() {
            return None;
        }
        let position = (self.0)(candidates);
        candidates.get(position).copied()
    }
}

impl fmt::Debug for CustomChoice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CustomChoice")
    }
}
