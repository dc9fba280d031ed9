//! Credits of client accounts, which a relay grants to its subscribers and lends to other relays.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use limits::{CreditGrant, CreditLedger, CreditMessages, CreditRequest, PartyId, QuotaLimits};
use model::FastMap;
use routes::RouteTable;

/// A relay's credits and the connections that request them.
#[derive(Debug)]
pub(super) struct CreditDesk(Mutex<DeskState>);

#[derive(Debug)]
struct DeskState {
    ledger: CreditLedger,
    /// Messages to each connection. Their number is limited by what the connection sends: it is not
    /// read while messages to it are sent.
    outboxes: FastMap<PartyId, UnboundedSender<CreditMessages>>,
    next_party: u64,
}

/// A connection whose other end requests credits. Its requests end when this is dropped.
pub struct CreditConnection<'a> {
    desk: &'a CreditDesk,
    party: PartyId,
    messages: UnboundedReceiver<CreditMessages>,
}

impl CreditDesk {
    pub(super) fn new(limits: QuotaLimits, is_first_start: bool, now: Instant) -> Self {
        Self(Mutex::new(DeskState {
            ledger: CreditLedger::new(limits, is_first_start, now),
            outboxes: FastMap::default(),
            next_party: 0,
        }))
    }

    /// Applies the quotas of a configuration.
    pub(super) fn apply_config(&self, table: &RouteTable, now: Instant) {
        let accounts = table.accounts.iter().flat_map(|accounts| &accounts.accounts);
        let quotas = accounts.map(|account| (&*account.name.0, account.quota));
        self.state().ledger.update(quotas, now);
    }

    /// Creates credits from now on, until `until` by no larger part than that of `relays` relays.
    pub(super) fn keep_part(&self, relays: usize, until: Instant, now: Instant) {
        let ledger = &mut self.state().ledger;
        ledger.add_earlier_relays(relays, until, now);
        ledger.set_start(now, now);
    }

    /// Changes the time until which a relay may use its part by an earlier number of relays, and if
    /// `is_start` until which another relay may create credits in place of this one.
    pub(super) fn set_handover_end(&self, handover_end: Instant, is_start: bool, now: Instant) {
        let ledger = &mut self.state().ledger;
        ledger.set_change_end(handover_end, now);
        if is_start {
            ledger.set_start(handover_end, now);
        }
    }

    /// Changes the number of relays. A relay may use its part by the previous number until `until`.
    pub(super) fn change_relays(&self, relays: usize, until: Instant, now: Instant) {
        self.state().ledger.change_relays(relays, until, now);
    }

    /// Changes how far accounts may exceed their quotas.
    pub(super) fn change_limits(&self, over: f64, slack: f64, now: Instant) {
        self.state().ledger.change_limits(over, slack, now);
    }

    /// Adds a connection from a subscriber, or of the relay itself.
    pub(super) fn connect(&self) -> CreditConnection<'_> {
        let mut state = self.state();
        let (sender, messages) = unbounded_channel();
        let party = PartyId(state.next_party);
        state.next_party += 1;
        state.outboxes.insert(party, sender);
        CreditConnection { desk: self, party, messages }
    }

    /// Adds a connection to another relay that lends and borrows credits.
    pub(super) fn connect_relay(&self) -> CreditConnection<'_> {
        let connection = self.connect();
        self.state().ledger.add_lender(connection.party);
        connection
    }

    /// Continues without loans that don't arrive in time.
    pub(super) fn expire_loans(&self, now: Instant) {
        self.update(|ledger| ledger.expire_loans(now));
    }

    /// Changes the ledger and forwards the resulting messages to their connections.
    fn update(&self, change: impl FnOnce(&mut CreditLedger)) {
        let mut state = self.state();
        change(&mut state.ledger);
        for (party, messages) in state.ledger.take_messages() {
            if let Some(outbox) = state.outboxes.get(&party) {
                // The send fails only if the connection has ended.
                let _ = outbox.send(messages);
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, DeskState> {
        self.0.lock().expect("credit lock is never poisoned")
    }
}

impl CreditConnection<'_> {
    /// Handles the credit requests of an entry VM.
    pub fn request(&self, requests: &[CreditRequest]) {
        self.desk.update(|ledger| ledger.request(self.party, requests, Instant::now()));
    }

    /// Handles the credit requests of another relay.
    pub fn lend(&self, requests: &[CreditRequest]) {
        self.desk.update(|ledger| ledger.lend(self.party, requests, Instant::now()));
    }

    /// Applies loans from another relay.
    pub fn apply_loans(&self, grants: &[CreditGrant]) {
        self.desk.update(|ledger| ledger.apply_loans(self.party, grants, Instant::now()));
    }

    /// Returns the next messages for the other end. Cancel-safe.
    pub async fn next(&mut self) -> CreditMessages {
        let received = self.messages.recv().await;
        received.expect("the relay holds the sender while the connection exists")
    }
}

impl Drop for CreditConnection<'_> {
    fn drop(&mut self) {
        self.desk.state().outboxes.remove(&self.party);
        self.desk.update(|ledger| ledger.remove_party(self.party, Instant::now()));
    }
}
