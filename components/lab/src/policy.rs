//! Ways to place, hold and refuse requests.

use std::str::FromStr;

use derive_more::{Display, Error};

use balance::{MAX_PROBE_ROUNDS, PROBES_PER_ROUND};

/// How a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChoiceKind {
    /// Any, by chance.
    Random,
    /// The one with the fewest of this entry VM's own requests.
    LeastOwn,
    /// By `balance::PlacementGroup`, after asking so many servers in a round.
    Group { asked: usize, rounds: usize },
    /// The one that will truly end the request first, with all that is to come known.
    Oracle,
}

/// A way to treat requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{name}")]
pub struct LabPolicy {
    name: &'static str,
    pub(crate) choice: ChoiceKind,
    /// Whether a request waits at the entry VM and is refused there; else it is sent at once.
    pub(crate) holds: bool,
    /// Whether a slow send gets a second one.
    pub(crate) hedges: bool,
    /// Whether requests are held and refused earlier where nearly all slots are in use.
    pub(crate) minds_crowds: bool,
}

/// All policies. "chosen" is what the daemon does. Earlier versions of it are "queued", the first that
/// kept the rules, which let requests wait at the servers; and "crowding", which held requests the
/// same however full the servers were.
const POLICIES: &[LabPolicy] = &[
    LabPolicy {
        name: "random",
        choice: ChoiceKind::Random,
        holds: false,
        hedges: false,
        minds_crowds: false,
    },
    LabPolicy {
        name: "least-own",
        choice: ChoiceKind::LeastOwn,
        holds: false,
        hedges: false,
        minds_crowds: false,
    },
    LabPolicy {
        name: "unasked",
        choice: ChoiceKind::Group { asked: 0, rounds: 1 },
        holds: true,
        hedges: true,
        minds_crowds: true,
    },
    LabPolicy {
        name: "asked-once",
        choice: ChoiceKind::Group { asked: PROBES_PER_ROUND, rounds: 1 },
        holds: true,
        hedges: true,
        minds_crowds: true,
    },
    LabPolicy {
        name: "queued",
        choice: ChoiceKind::Group { asked: PROBES_PER_ROUND, rounds: MAX_PROBE_ROUNDS },
        holds: false,
        hedges: true,
        minds_crowds: false,
    },
    LabPolicy {
        name: "crowding",
        choice: ChoiceKind::Group { asked: PROBES_PER_ROUND, rounds: MAX_PROBE_ROUNDS },
        holds: true,
        hedges: true,
        minds_crowds: false,
    },
    LabPolicy {
        name: "single",
        choice: ChoiceKind::Group { asked: PROBES_PER_ROUND, rounds: MAX_PROBE_ROUNDS },
        holds: true,
        hedges: false,
        minds_crowds: true,
    },
    LabPolicy {
        name: "chosen",
        choice: ChoiceKind::Group { asked: PROBES_PER_ROUND, rounds: MAX_PROBE_ROUNDS },
        holds: true,
        hedges: true,
        minds_crowds: true,
    },
    LabPolicy {
        name: "oracle",
        choice: ChoiceKind::Oracle,
        holds: true,
        hedges: false,
        minds_crowds: false,
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
