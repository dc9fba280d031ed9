//! Policies for placing, queueing, hedging and refusing requests.

use std::str::FromStr;

use derive_more::{Display, Error};

use balance::{MAX_PROBE_ROUNDS, PROBES_PER_ROUND};

/// Method of choosing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerSelection {
    /// A random server.
    Random,
    /// The server with the fewest requests from this entry VM.
    LeastLocal,
    /// The choice of `balance::PlacementGroup` after up to `max_rounds` rounds of `probe_count`
    /// probes.
    Group { probe_count: usize, max_rounds: usize },
    /// The choice of `balance::PlacementGroup` with the present load and speed of all servers, and
    /// nothing of their future.
    Informed,
    /// The server that will complete the request first, computed from the state of the simulation
    /// and the future speeds of the machines.
    Oracle,
}

/// A policy that a scenario can be simulated with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{name}")]
pub struct LabPolicy {
    name: &'static str,
    pub(crate) selection: ServerSelection,
    /// Whether the entry VM may queue or refuse a request; otherwise it is sent immediately.
    pub(crate) has_queue: bool,
    /// Whether a slow attempt may be hedged.
    pub(crate) has_hedging: bool,
    /// Whether requests are queued and refused earlier while nearly all slots are in use, and
    /// queued requests check for a free server less often the more of them wait at the entry VM.
    pub(crate) has_saturation_check: bool,
}

/// All policies. "chosen" is the policy of the daemon. Some differ from it in one respect:
/// "unasked" sends no probes, "asked-once" probes for one round, "single" doesn't hedge, "crowding"
/// queues requests without regard to saturation, and "queued" lets them wait at the servers.
/// "informed" is what "chosen" would be with a complete view of the present.
const POLICIES: &[LabPolicy] = &[
    LabPolicy {
        name: "random",
        selection: ServerSelection::Random,
        has_queue: false,
        has_hedging: false,
        has_saturation_check: false,
    },
    LabPolicy {
        name: "least-own",
        selection: ServerSelection::LeastLocal,
        has_queue: false,
        has_hedging: false,
        has_saturation_check: false,
    },
    LabPolicy {
        name: "unasked",
        selection: ServerSelection::Group { probe_count: 0, max_rounds: 1 },
        has_queue: true,
        has_hedging: true,
        has_saturation_check: true,
    },
    LabPolicy {
        name: "asked-once",
        selection: ServerSelection::Group { probe_count: PROBES_PER_ROUND, max_rounds: 1 },
        has_queue: true,
        has_hedging: true,
        has_saturation_check: true,
    },
    LabPolicy {
        name: "queued",
        selection: ServerSelection::Group {
            probe_count: PROBES_PER_ROUND,
            max_rounds: MAX_PROBE_ROUNDS,
        },
        has_queue: false,
        has_hedging: true,
        has_saturation_check: false,
    },
    LabPolicy {
        name: "crowding",
        selection: ServerSelection::Group {
            probe_count: PROBES_PER_ROUND,
            max_rounds: MAX_PROBE_ROUNDS,
        },
        has_queue: true,
        has_hedging: true,
        has_saturation_check: false,
    },
    LabPolicy {
        name: "single",
        selection: ServerSelection::Group {
            probe_count: PROBES_PER_ROUND,
            max_rounds: MAX_PROBE_ROUNDS,
        },
        has_queue: true,
        has_hedging: false,
        has_saturation_check: true,
    },
    LabPolicy {
        name: "chosen",
        selection: ServerSelection::Group {
            probe_count: PROBES_PER_ROUND,
            max_rounds: MAX_PROBE_ROUNDS,
        },
        has_queue: true,
        has_hedging: true,
        has_saturation_check: true,
    },
    LabPolicy {
        name: "informed",
        selection: ServerSelection::Informed,
        has_queue: true,
        has_hedging: true,
        has_saturation_check: true,
    },
    LabPolicy {
        name: "oracle",
        selection: ServerSelection::Oracle,
        has_queue: true,
        has_hedging: false,
        has_saturation_check: false,
    },
];

/// There is no policy with this name.
#[derive(Debug, Display, Error)]
#[display("unknown policy {name:?}; known policies: {known_names}")]
pub struct UnknownPolicy {
    name: Box<str>,
    known_names: Box<str>,
}

impl LabPolicy {
    /// Returns all policies.
    pub fn all() -> &'static [Self] {
        POLICIES
    }

    /// Returns the name used on the command line and in tables.
    pub fn name(&self) -> &'static str {
        self.name
    }
}

impl FromStr for LabPolicy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = POLICIES.iter().find(|policy| policy.name == name);
        found.copied().ok_or_else(|| {
            let known_names: Vec<_> = POLICIES.iter().map(|policy| policy.name).collect();
            UnknownPolicy { name: name.into(), known_names: known_names.join(", ").into() }
        })
    }
}
