//! What a request holds of the server that was selected for it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use balance::{
    LimitResponse, RequestShape, ServerIncarnation, ServerNotice, ServerTicket, StartedRequest,
    WarmUpResponse,
};
use model::RequestRate;

use crate::hosted::service::HostedService;

/// Lease of a server for one request, from the selection to the outcome. If it is dropped without
/// an outcome, the request counts as cancelled.
pub(crate) struct ServerLease {
    pub(crate) service: Arc<HostedService>,
    request: StartedRequest,
    /// Age of the load report by which the server was selected.
    pub(crate) report_age: Option<Duration>,
    /// When the request was counted against the server's limit.
    counted_at: Option<Instant>,
    is_finished: bool,
}

impl ServerLease {
    /// Counts the request as in flight at the server.
    pub(crate) fn acquire(
        service: &Arc<HostedService>,
        ticket: ServerTicket,
        shape: RequestShape,
        now: Instant,
    ) -> Self {
        let mut group = service.group();
        let request = group.start_request(ticket, shape, now);
        let report_age = group.report_age(ticket, now);
        drop(group);
        Self {
            service: Arc::clone(service),
            request,
            report_age,
            counted_at: None,
            is_finished: false,
        }
    }

    /// Returns the ticket of the server.
    pub(crate) fn ticket(&self) -> ServerTicket {
        self.request.ticket()
    }

    /// Returns the server's incarnation, or `None` if the server is no longer listed.
    pub(crate) fn incarnation(&self) -> Option<ServerIncarnation> {
        self.service.group().incarnation(self.ticket())
    }

    /// Counts the request against the server's limit, right before its connection is chosen.
    pub(crate) fn record_sent(&mut self) {
        let now = Instant::now();
        self.counted_at = Some(now);
        self.service.group().record_sent(self.ticket(), now);
    }

    /// Whether the turn for which the request was counted is over, and the server is cold.
    pub(crate) fn has_missed_turn(&self) -> bool {
        let holds_turn =
            |counted_at| self.service.group().holds_turn(self.ticket(), counted_at, Instant::now());
        !self.counted_at.is_some_and(holds_turn)
    }

    /// Records what the server's own response says about its warm-up.
    pub(crate) fn record_warm_up(&self, left: Option<Duration>) {
        let sent_at = self.request.started_at();
        let response = WarmUpResponse { left, is_probe: false, sent_at };
        self.service.record_warm_up(self.ticket(), response);
    }

    /// Whether the server has withdrawn, or its zone is evacuated, since it was selected.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.service.group().is_withdrawn(self.ticket(), Instant::now())
    }

    /// Records what the server's own response says about it.
    pub(crate) fn record_notice(&self, notice: &ServerNotice) {
        self.service.record_notice(self.ticket(), notice);
    }

    /// Records the limit that the server's own response names.
    pub(crate) fn record_limit(&self, rate: Option<RequestRate>) {
        let sent_at = self.request.started_at();
        let named = LimitResponse { rate, is_probe: false, sent_at };
        self.service.record_limit(self.ticket(), named);
    }

    /// Releases the lease with the outcome of the request and the load that the server reported.
    pub(crate) fn finish(
        mut self,
        outcome: balance::SampleOutcome,
        report: Option<balance::ServerLoad>,
    ) {
        self.is_finished = true;
        self.service.group().finish_request(self.request, outcome, report, Instant::now());
    }
}

impl Drop for ServerLease {
    fn drop(&mut self) {
        if !self.is_finished {
            let outcome = balance::SampleOutcome::Cancelled;
            self.service.group().finish_request(self.request, outcome, None, Instant::now());
        }
    }
}
