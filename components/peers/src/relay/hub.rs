//! State of a relay, which its connections share.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::broadcast;
use tokio::time::Instant;

use limits::{MemberId, QuotaLimits, RelayCount, ShareLedger, share_divisor};
use model::{StoreVersion, ZoneName};
use quarantine::CrashBoard;
use routes::{CONFIG_FORMAT, RouteTable, ServerChange, ServerRecord};

use crate::relay::credits::{CreditConnection, CreditDesk};
use crate::relay::helpers::{HelperConnection, HelperSet, HelperSource};
use crate::relay::messages::{HeldVersions, RelayMessage, SubscriberMessage, SubscriberTurns};
use crate::wire::{EncodedMessage, PeerError};

/// Capacity of the queue of messages to one subscriber. A subscriber that falls further behind is
/// disconnected and subscribes again.
const SUBSCRIBER_QUEUE_CAPACITY: usize = 64;

/// Number of recent changes of the server list kept for subscribers that hold an earlier version.
/// A subscriber with a version before all of them receives the full list.
const CHANGE_HISTORY_CAPACITY: usize = 64;

/// Times and limits of a relay, which follow the bounds of the hosting platform.
#[derive(Debug, Clone, Copy)]
pub struct RelayTiming {
    /// Interval between two keep-alive messages.
    pub keep_alive_interval: Duration,
    /// Timeout for receiving the first message of a subscriber.
    pub handshake_timeout: Duration,
    /// How long what a member takes from a fleet-wide budget counts against it.
    pub budget_window: Duration,
    /// Age of the state above which subscribers leave the relay.
    pub max_state_age: Duration,
    /// How long a member uses its share and its turns after the message that brought them.
    /// Invariant: longer than `keep_alive_interval`.
    pub share_validity: Duration,
    /// Time after a change of the set of relays until all VMs know of it. Until then, a relay that
    /// was removed may still use its part of what the relays divide.
    pub handover_time: Duration,
    /// How far accounts may exceed their quotas.
    pub quotas: QuotaLimits,
}

impl RelayTiming {
    /// How long a share counts after it was lowered or its member has left.
    fn share_retention(&self) -> Duration {
        self.budget_window + self.share_validity
    }
}

/// A member's share of a fleet-wide budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetShare {
    /// Number of equal parts of the budget, of which the relay has one.
    pub relays: u32,
    /// Number of equal shares of that part, of which the member has one.
    pub members: u32,
}

/// State of a relay, and the channel to its subscribers.
pub struct RelayHub {
    pub(super) timing: RelayTiming,
    /// Membership of the relay itself.
    own_membership: Membership,
    pub(super) crashes: Arc<CrashBoard>,
    pub(super) helpers: HelperSet,
    pub(super) credits: CreditDesk,
    state: Mutex<HubState>,
    updates: broadcast::Sender<HubUpdate>,
}

/// A message to the subscribers.
#[derive(Debug, Clone)]
pub(super) struct HubUpdate {
    /// Lowest format of subscribers that know the message. Others must not receive it: an unknown
    /// message ends the connection.
    pub(super) min_format: u32,
    pub(super) message: EncodedMessage,
}

impl HubUpdate {
    /// Creates a message that all versions of the daemon know.
    fn for_all(message: EncodedMessage) -> Self {
        Self { min_format: 0, message }
    }
}

/// Format from which subscribers know evacuations and credits.
const EVACUATIONS_FORMAT: u32 = 1;

struct HubState {
    evacuations: Option<LatestMessage<StoreVersion>>,
    config: Option<LatestMessage<u64>>,
    servers: Option<LatestMessage<StoreVersion>>,
    /// Invariant: each entry starts at the version at which the previous one ends; the last ends at
    /// the version of `servers`.
    changes: VecDeque<EncodedChanges>,
    config_confirmed_at: Option<Instant>,
    servers_confirmed_at: Option<Instant>,
    is_store_unreachable: bool,
    shares: ShareLedger,
    /// Number of relays that divide the budgets of `shares`.
    share_relays: RelayCount,
    /// Number of relays that divide what is used in turns.
    turn_relays: RelayCount,
    handover: Handover,
    next_member: u64,
    /// Turns in use: 0 is the relay's own, the others are those of subscribers.
    used_turns: BTreeSet<u32>,
    /// Start of the clock that the subscribers share.
    started_at: Instant,
}

/// The time in which a former relay may still use its part of what the relays divide.
#[derive(Debug, Clone, Copy)]
struct Handover {
    end: Instant,
    /// Whether this relay has used no part since it started.
    is_start: bool,
}

/// A member among which this relay divides budgets and turns: a subscriber, or the relay itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct Membership {
    id: MemberId,
    turn: u32,
    joined_at: Instant,
}

/// A subscriber's membership, which ends when this is dropped.
pub(super) struct MembershipGuard<'a> {
    hub: &'a RelayHub,
    pub(super) membership: Membership,
}

impl Drop for MembershipGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.hub.state();
        state.used_turns.remove(&self.membership.turn);
        state.shares.leave(self.membership.id, Instant::now());
    }
}

/// Encoded changes of the server list between two store versions.
struct EncodedChanges {
    after: StoreVersion,
    version: StoreVersion,
    message: EncodedMessage,
}

/// The latest message of one kind: the evacuations, the configuration or the server list.
struct LatestMessage<V> {
    version: V,
    message: RelayMessage,
    /// The encoded message, set when a subscriber first needs it.
    encoded: Option<EncodedMessage>,
}

impl<V> LatestMessage<V> {
    fn new(version: V, message: RelayMessage) -> Self {
        Self { version, message, encoded: None }
    }

    fn encode(&mut self) -> Result<EncodedMessage, PeerError> {
        if let Some(encoded) = &self.encoded {
            return Ok(encoded.clone());
        }
        let encoded = EncodedMessage::new(&self.message)?;
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }
}

impl HubState {
    /// Adds a member with the lowest free turn.
    fn join(&mut self, now: Instant) -> Membership {
        let mut turns = 0..;
        let free = turns.find(|turn| !self.used_turns.contains(turn));
        let turn = free.expect("there are fewer members than numbers");
        self.used_turns.insert(turn);
        let id = MemberId(self.next_member);
        self.next_member += 1;
        self.shares.join(id);
        Membership { id, turn, joined_at: now }
    }

    fn turns(&mut self, index: u32, now: Instant) -> SubscriberTurns {
        let count = self.used_turns.last().map_or(1, |last| last + 1);
        let relays = self.turn_relays.parts(now) as u32;
        SubscriberTurns { index, count, relays, clock_ms: self.clock_ms(now) }
    }

    fn share(&mut self, member: MemberId, now: Instant) -> BudgetShare {
        let members = share_divisor(self.shares.grant(member, now));
        BudgetShare { relays: self.share_relays.parts(now) as u32, members }
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    fn push_changes(&mut self, changes: EncodedChanges) {
        if self.changes.len() == CHANGE_HISTORY_CAPACITY {
            self.changes.pop_front();
        }
        self.changes.push_back(changes);
    }

    /// Returns the changes that a subscriber whose list is at version `held` lacks; `None` if the
    /// change history doesn't reach back to that version, so that it needs the full list.
    fn changes_after(&self, held: StoreVersion) -> Option<Vec<EncodedMessage>> {
        let newest = self.servers.as_ref()?.version;
        let missing: Vec<&EncodedChanges> =
            self.changes.iter().filter(|changes| changes.version > held).collect();
        let is_gapless = match missing.first() {
            Some(first) => first.after <= held,
            None => held >= newest,
        };
        is_gapless.then(|| missing.into_iter().map(|changes| changes.message.clone()).collect())
    }
}

impl RelayHub {
    /// Creates a hub without subscribers, which exchanges the reports on `crashes` with them.
    /// `is_first_start` says that no relay of the fleet has ever run before.
    pub fn new(timing: RelayTiming, is_first_start: bool, crashes: Arc<CrashBoard>) -> Self {
        let now = Instant::now();
        let retention = timing.share_retention();
        let relays = timing.quotas.relays;
        let mut state = HubState {
            evacuations: None,
            config: None,
            servers: None,
            changes: VecDeque::new(),
            config_confirmed_at: None,
            servers_confirmed_at: None,
            is_store_unreachable: false,
            shares: ShareLedger::new(retention, is_first_start, now),
            share_relays: RelayCount::new(relays),
            turn_relays: RelayCount::new(relays),
            handover: Handover {
                end: if is_first_start { now } else { now + timing.handover_time },
                is_start: !is_first_start,
            },
            next_member: 0,
            used_turns: BTreeSet::new(),
            started_at: now,
        };
        let own_membership = state.join(now);
        let hub = Self {
            timing,
            own_membership,
            crashes,
            helpers: HelperSet::default(),
            credits: CreditDesk::new(timing.quotas, is_first_start, now),
            state: Mutex::new(state),
            updates: broadcast::Sender::new(SUBSCRIBER_QUEUE_CAPACITY),
        };
        if !is_first_start {
            hub.set_handover_end(now + timing.handover_time, now);
        }
        hub
    }

    /// Changes the number of relays, of which this one stays one. What it may use grows once no
    /// relay uses its part by the previous number.
    pub fn change_relays(&self, relays: usize, now: Instant) {
        let end = now + self.timing.handover_time;
        let mut state = self.state();
        state.handover.is_start &= now < state.handover.end;
        state.handover.end = end;
        state.share_relays.change(relays, end + self.timing.share_retention());
        state.turn_relays.change(relays, end + self.timing.share_validity);
        drop(state);
        self.credits.change_relays(relays, end, now);
        self.set_handover_end(end, now);
    }

    /// Ends the handover of a start: this relay was one before, of at most `relays`, and nobody uses
    /// its part in its place. What it may use grows when the handover would have ended.
    pub fn keep_part(&self, relays: usize, now: Instant) {
        let mut state = self.state();
        let Handover { end, is_start } = state.handover;
        if !is_start || now >= end {
            return;
        }
        state.handover.is_start = false;
        state.shares.set_start(now);
        state.share_relays.add_earlier(relays, end + self.timing.share_retention());
        state.turn_relays.add_earlier(relays, end + self.timing.share_validity);
        drop(state);
        self.credits.keep_part(relays, end, now);
    }

    /// Changes the end of the handover, until which a former relay may use its part of what the
    /// relays divide. Returns `false`, and changes nothing, if the handover is over.
    pub fn set_handover_end(&self, end: Instant, now: Instant) -> bool {
        let mut state = self.state();
        if now >= state.handover.end {
            return false;
        }
        let is_start = state.handover.is_start;
        state.handover.end = end;
        state.share_relays.set_end(end + self.timing.share_retention());
        state.turn_relays.set_end(end + self.timing.share_validity);
        if is_start {
            state.shares.set_start(end);
        }
        drop(state);
        self.credits.set_handover_end(end, is_start, now);
        true
    }

    /// Changes how far accounts may exceed their quotas.
    pub fn change_quota_limits(&self, over: f64, slack: f64, now: Instant) {
        self.credits.change_limits(over, slack, now);
    }

    /// Records that the store confirmed the configuration and the evacuations.
    pub fn confirm_config(&self, now: Instant) {
        self.state().config_confirmed_at = Some(now);
    }

    /// Records that the store confirmed the list of servers.
    pub fn confirm_servers(&self, now: Instant) {
        let mut state = self.state();
        state.servers_confirmed_at = Some(now);
        state.is_store_unreachable = false;
    }

    /// Records that calls to the store for the list of servers fail.
    pub fn set_store_unreachable(&self) {
        self.state().is_store_unreachable = true;
    }

    /// Sends the evacuated zones at a version of the store to the subscribers that know the message,
    /// and keeps them for later ones.
    pub fn publish_evacuations(
        &self,
        version: StoreVersion,
        zones: Vec<ZoneName>,
    ) -> Result<(), PeerError> {
        let message = RelayMessage::Evacuations { version, zones };
        let mut latest = LatestMessage::new(version, message);
        let mut state = self.state();
        if self.updates.receiver_count() > 0 {
            let message = latest.encode()?;
            self.broadcast(HubUpdate { min_format: EVACUATIONS_FORMAT, message });
        }
        state.evacuations = Some(latest);
        Ok(())
    }

    /// Sends a configuration to the subscribers and keeps it for later ones.
    pub fn publish_config(&self, table: &RouteTable) -> Result<(), PeerError> {
        self.credits.apply_config(table, Instant::now());
        let mut latest = LatestMessage::new(table.version.0, RelayMessage::Config(table.clone()));
        let mut state = self.state();
        if self.updates.receiver_count() > 0 {
            self.broadcast(HubUpdate::for_all(latest.encode()?));
        }
        state.config = Some(latest);
        Ok(())
    }

    /// Sends the changes since the last published list to the subscribers, or the full list if
    /// there are no `changes` or no previous list. Keeps the list for later subscribers.
    pub fn publish_servers(
        &self,
        version: StoreVersion,
        records: Vec<ServerRecord>,
        changes: Option<Vec<ServerChange>>,
    ) -> Result<(), PeerError> {
        let mut latest = LatestMessage::new(version, RelayMessage::Servers { version, records });
        let mut state = self.state();
        let after = state.servers.as_ref().map(|latest| latest.version);
        match after.zip(changes) {
            Some((after, changes)) => {
                let message =
                    EncodedMessage::new(&RelayMessage::Changes { after, version, changes })?;
                self.broadcast(HubUpdate::for_all(message.clone()));
                state.push_changes(EncodedChanges { after, version, message });
            }
            None => {
                state.changes.clear();
                if self.updates.receiver_count() > 0 {
                    self.broadcast(HubUpdate::for_all(latest.encode()?));
                }
            }
        }
        state.servers = Some(latest);
        Ok(())
    }

    /// Sends a message to the subscribers that know it. The caller holds the state lock, so that a new
    /// subscriber receives each message once and in order.
    fn broadcast(&self, update: HubUpdate) {
        // The send fails only if no subscriber is left.
        let _ = self.updates.send(update);
    }

    /// Returns the relay's own share of a fleet-wide budget.
    pub fn own_share(&self, now: Instant) -> BudgetShare {
        self.state().share(self.own_membership.id, now)
    }

    /// Returns the relay's own turns; `None` shortly after its start.
    pub fn own_turns(&self, now: Instant) -> Option<SubscriberTurns> {
        self.known_turns(&mut self.state(), &self.own_membership, now)
    }

    /// Returns the turns of a member once each other member knows of its turn, or no longer uses
    /// the turns that it got before.
    fn known_turns(
        &self,
        state: &mut HubState,
        membership: &Membership,
        now: Instant,
    ) -> Option<SubscriberTurns> {
        let Handover { end, is_start } = state.handover;
        // A relay that starts assigns no turns before the end of its handover.
        let assigned_at =
            if is_start { membership.joined_at.max(end) } else { membership.joined_at };
        let known_from = assigned_at + self.timing.share_validity;
        (now >= known_from).then(|| state.turns(membership.turn, now))
    }

    pub(super) fn join(&self) -> MembershipGuard<'_> {
        MembershipGuard { hub: self, membership: self.state().join(Instant::now()) }
    }

    /// Returns a keep-alive message for a subscriber; `None` until the evacuations are published and
    /// the store has confirmed both the configuration and the server list, and while updates are queued for the subscriber: it would
    /// take the state without them for confirmed.
    pub(super) fn keep_alive(
        &self,
        updates: &broadcast::Receiver<HubUpdate>,
        membership: &Membership,
        now: Instant,
    ) -> Option<RelayMessage> {
        let mut state = self.state();
        if !updates.is_empty() || state.evacuations.is_none() {
            return None;
        }
        let oldest_confirmed_at = state.config_confirmed_at?.min(state.servers_confirmed_at?);
        let age_ms = now.saturating_duration_since(oldest_confirmed_at).as_millis() as u64;
        let BudgetShare { relays, members } = state.share(membership.id, now);
        Some(RelayMessage::KeepAlive {
            age_ms,
            is_store_unreachable: state.is_store_unreachable,
            members,
            relays,
            turns: self.known_turns(&mut state, membership, now),
            era: state.servers.as_ref().map_or(0, |latest| latest.version.era),
            clock_ms: Some(state.clock_ms(now)),
            format: CONFIG_FORMAT,
        })
    }

    /// Returns a keep-alive message if the relay's state is so old that subscribers leave it.
    pub(super) fn stale_keep_alive(
        &self,
        updates: &broadcast::Receiver<HubUpdate>,
        membership: &Membership,
        now: Instant,
    ) -> Result<Option<EncodedMessage>, PeerError> {
        let max_age_ms = self.timing.max_state_age.as_millis() as u64;
        match self.keep_alive(updates, membership, now) {
            Some(message @ RelayMessage::KeepAlive { age_ms, .. }) if age_ms > max_age_ms => {
                EncodedMessage::new(&message).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Returns the messages that a new subscriber lacks, the evacuations first, and a receiver of later ones.
    pub(super) fn subscribe(
        &self,
        held: &HeldVersions,
    ) -> Result<(Vec<EncodedMessage>, broadcast::Receiver<HubUpdate>), PeerError> {
        let mut state = self.state();
        let mut missing = Vec::new();
        if let Some(latest) = state.evacuations.as_mut().filter(|latest| {
            held.format >= EVACUATIONS_FORMAT && held.evacuations < Some(latest.version)
        }) {
            missing.push(latest.encode()?);
        }
        if let Some(latest) =
            state.config.as_mut().filter(|latest| held.config < Some(latest.version))
        {
            missing.push(latest.encode()?);
        }
        match held.servers.and_then(|held| state.changes_after(held)) {
            Some(changes) => missing.extend(changes),
            None => {
                if let Some(latest) = state.servers.as_mut() {
                    missing.push(latest.encode()?);
                }
            }
        }
        Ok((missing, self.updates.subscribe()))
    }

    /// Adds a connection by which the relay itself requests credits.
    pub fn connect_own_credits(&self) -> CreditConnection<'_> {
        self.credits.connect()
    }

    /// Adds a connection to another relay that lends and borrows credits.
    pub fn connect_lender(&self) -> CreditConnection<'_> {
        self.credits.connect_relay()
    }

    /// Continues without loans of credits that don't arrive in time.
    pub fn expire_loans(&self) {
        self.credits.expire_loans(Instant::now());
    }

    /// Records whether the relay itself reaches backend servers, and its caller address.
    pub fn set_own_access(&self, callers: SocketAddr, reaches_servers: bool) {
        let helpers = if reaches_servers { vec![callers] } else { Vec::new() };
        self.helpers.set(HelperSource::Own, helpers);
    }

    /// Records which VMs another relay knows that reach backend servers.
    pub fn set_relay_helpers(&self, relay: SocketAddr, helpers: Vec<SocketAddr>) {
        self.helpers.set(HelperSource::DialedRelay(relay), helpers);
    }

    /// Returns some VMs that reach backend servers.
    pub fn helpers(&self) -> Vec<SocketAddr> {
        self.helpers.sample(|_| true)
    }

    /// Returns some VMs that reach backend servers, of this relay and its own subscribers.
    pub fn own_helpers(&self) -> Vec<SocketAddr> {
        self.helpers.sample(HelperSource::is_own)
    }

    /// Applies a message from a connection, and its size. Returns whether the other end needs VMs
    /// that reach backend servers, if the message tells.
    pub(super) fn apply(
        &self,
        connection: &HelperConnection<'_>,
        credits: &CreditConnection<'_>,
        is_relay: bool,
        (message, _): (SubscriberMessage, u64),
    ) -> Option<bool> {
        match message {
            SubscriberMessage::CrashReports(reports) => {
                self.crashes.merge(&reports, Instant::now());
                None
            }
            SubscriberMessage::CreditRequests(requests) => {
                match is_relay {
                    true => credits.lend(&requests),
                    false => credits.request(&requests),
                }
                None
            }
            SubscriberMessage::CreditGrants(grants) => {
                credits.apply_loans(&grants);
                None
            }
            SubscriberMessage::Helpers { callers, needs_helpers } => {
                connection.set(callers);
                Some(needs_helpers)
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().expect("hub lock is never poisoned")
    }
}
