//! Custom selection by a closure of the embedding program.

use std::fmt;
use std::time::Duration;

/// State of one server that is passed to a custom choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateView {
    /// Position of the server in the group; it stays the same until the server list changes.
    pub index: usize,
    /// Unfinished requests of this entry VM at the server.
    pub local_in_flight: u32,
    /// Requests in flight from all entry VMs, as of the last load report.
    pub reported_in_flight: f64,
    /// Age of the last load report.
    pub report_age: Duration,
}

/// A closure that returns the position of the chosen candidate in the slice.
///
/// Servers that are leaving or have no free connection are not among the candidates. Ejected
/// servers are: ejection and estimates are up to the closure.
pub struct CustomChoice(Box<ChooseFn>);

type ChooseFn = dyn FnMut(&[CandidateView]) -> usize + Send;

impl CustomChoice {
    /// Creates a choice from a closure.
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
