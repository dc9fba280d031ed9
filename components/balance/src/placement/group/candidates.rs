//! Choice of the servers that are compared for a request, and probed if their reports are old.

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::placement::admission::GroupLoad;
use crate::placement::estimate::RequestShape;
use crate::placement::group::PlacementGroup;
use crate::placement::server::ServerState;
use crate::types::ServerTicket;

/// Servers compared per choice; larger groups are sampled.
const MAX_CANDIDATES: usize = 32;

/// Largest random increase of a candidate's cost, as a fraction of it. It keeps entry VMs with the
/// same reports from probing the same servers.
const CANDIDATE_COST_NOISE: f64 = 0.3;

/// Extra cost of a server that isn't preferred in the choice of candidates, in typical service
/// times of the request.
const NON_PREFERRED_COST_RATIO: f64 = 0.4;

/// Extra cost of a server in another zone in the choice of candidates, in typical service times of
/// the request: probes and small requests cross zones only if the servers of the own zone are busy
/// or slow.
const OTHER_ZONE_COST_RATIO: f64 = 1.0;

/// Which servers a choice of candidates looks for.
#[derive(Debug, Clone, Copy)]
struct CandidateQuery<'a> {
    /// Largest number of servers.
    count: usize,
    shape: RequestShape,
    excluded: &'a [ServerTicket],
    now: Instant,
}

impl PlacementGroup {
    /// Returns up to `count` servers with the lowest estimated cost for a request, lowest first.
    /// Leaving servers, those in evacuated zones, those whose limit allows no request now, and those
    /// in `excluded` are skipped; ejected ones are used if no other is left.
    ///
    /// In a large group, those that this entry VM knows are compared under light load, and random
    /// ones beside the preferred ones otherwise, or if there are too few.
    pub fn candidates(
        &self,
        count: usize,
        shape: RequestShape,
        excluded: &[ServerTicket],
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ServerTicket> {
        let query = CandidateQuery { count, shape, excluded, now };
        let is_healthy = |state: &ServerState| !state.failures.is_ejected(now);
        let mut found = Vec::new();
        if self.load() == GroupLoad::Light {
            found = self.best_candidates(&self.known_indexes(), query, random, is_healthy);
        }
        if found.len() < count {
            let drawn = self.drawn_indexes(random);
            found = self.best_candidates(&drawn, query, random, is_healthy);
        }
        if found.is_empty() {
            let drawn = self.drawn_indexes(random);
            found = self.best_candidates(&drawn, query, random, |_| true);
        }
        found
    }

    /// Returns the servers that this entry VM usually compares; all of a small group.
    fn known_indexes(&self) -> Vec<usize> {
        match self.open.len() <= MAX_CANDIDATES {
            true => self.open.clone(),
            false => self.preferred.iter().chain(&self.standby).copied().collect(),
        }
    }

    /// Returns the preferred servers and random ones to make up the number of candidates; all
    /// servers of a small group.
    fn drawn_indexes(&self, random: &mut impl Rng) -> Vec<usize> {
        let total = self.open.len();
        if total <= MAX_CANDIDATES {
            return self.open.clone();
        }
        let mut indexes = self.preferred.clone();
        let missing = MAX_CANDIDATES - indexes.len();
        indexes.extend((0..missing).map(|_| self.open[random.random_range(0..total)]));
        indexes
    }

    /// Returns the servers with the lowest estimated cost among those at `indexes` and the cold ones
    /// that may get a request now.
    fn best_candidates(
        &self,
        indexes: &[usize],
        query: CandidateQuery<'_>,
        random: &mut impl Rng,
        is_eligible: impl Fn(&ServerState) -> bool,
    ) -> Vec<ServerTicket> {
        let CandidateQuery { count, shape, excluded, now } = query;
        let rules = self.send_rules();
        let open_cold = self.open_cold_servers(&rules, now);
        let mut costs: Vec<(f64, ServerTicket)> =
            Vec::with_capacity(indexes.len() + open_cold.len());
        for index in indexes.iter().chain(&open_cold).copied() {
            let (serial, state) = &self.servers[index];
            let ticket = ServerTicket { index, serial: *serial };
            let is_skipped = !state.may_accept_request(&rules, now)
                || excluded.contains(&ticket)
                || !is_eligible(state);
            if is_skipped || costs.iter().any(|(_, other)| *other == ticket) {
                continue;
            }
            let cost = self.estimate_state(state, shape, now).cost_seconds
                + self.candidate_cost_ratio(state) * shape.service_time.as_secs_f64();
            costs.push((cost * (1.0 + CANDIDATE_COST_NOISE * random.random::<f64>()), ticket));
        }
        costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        if self.is_saturated()
            && let Some(best_cold) =
                costs.iter().position(|(_, ticket)| open_cold.contains(&ticket.index))
        {
            // What a cold server tolerates is known to be free, and few VMs may use it now.
            costs[..=best_cold].rotate_right(1);
        }
        costs.into_iter().take(count).map(|(_, ticket)| ticket).collect()
    }

    /// Extra cost of a server in the choice of candidates, in typical service times.
    fn candidate_cost_ratio(&self, state: &ServerState) -> f64 {
        let preferred_ratio = if state.is_preferred { 0.0 } else { NON_PREFERRED_COST_RATIO };
        let zone_ratio = if self.is_own_zone(state) { 0.0 } else { OTHER_ZONE_COST_RATIO };
        preferred_ratio + zone_ratio
    }
}
