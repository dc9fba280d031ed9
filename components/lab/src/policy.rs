//! Ways to place, hold and refuse requests.

use std::str::FromStr;

use derive_more::{Display, Error};

use balance::{MAX_PROBE_ROUNDS, PROBES_PER_ROUND};

/// How a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerSelection {
    /// Any, by chance.
    Random,
    /// The one with the fewest of this entry VM's own requests.
    LeastLocal,
    /// By `balance::PlacementGroup`, after asking so many servers in a round.
    Group { probe_count: usize, max_rounds: usize },
    /// The one that will truly end the request first, with all that is to come known.
    Oracle,
}

/// A way to treat requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{name}")]
pub struct LabPolicy {
    name: &'static str,
    pub(crate) selection: ServerSelection,
    /// Whether a request waits at the entry VM and is refused there; else it is sent at once.
    pub(crate) has_queue: bool,
    /// Whether a slow send gets a second one.
    pub(crate) has_hedging: bool,
    /// Whether requests are held and refused earlier where nearly all slots are in use.
    pub(crate) has_saturation_check: bool,
}

/// All policies. "chosen" is what the daemon does. Earlier versions of it are "queued", the first that
/// kept the rules, which let requests wait at the servers; and "crowding", which held requests the
/// same however full the servers were.
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
        name: "oracle",
        selection: ServerSelection::Oracle,
        has_queue: true,
        has_hedging: false,
        has_saturation_check: false,
    },
];

/// No policy has this name.
#[derive(Debug, Display, Error)]
#[display("policy {name:?} is unknown; there are {known}")]
pub struct UnknownPolicy {
    name: Box<str>,
    known: Box<str>,
}

impl LabPolicy {
    /// All policies.
    pub fn all() -> &'static [Self] {
        POLICIES
    }

    /// Its name.
    pub fn name(&self) -> &'static str {
        self.name
    }
}

impl FromStr for LabPolicy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = POLICIES.iter().find(|policy| policy.name == name);
        found.copied().ok_or_else(|| {
            let known: Vec<_> = POLICIES.iter().map(|policy| policy.name).collect();
            UnknownPolicy { name: name.into(), known: known.join(", ").into() }
        })
    }
}
