//! Who votes, as one control gateway sees it, for people to look at. Must never decide anything.

use super::Control;
use crate::membership::Ended;
use archlink_messages::{Ballot, Muster, Node, Register};

/// One control gateway as another one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub node: Node,
    /// None of one that nobody has met.
    pub zone: Option<String>,
    /// It has a seat; it is to have one once the change that is under way ends.
    pub seat: bool,
    pub comes: bool,
    /// Seconds since a word of it came; none where none ever did.
    pub heard: Option<f64>,
    /// Does its disk hold all that it ever promised? None where it didn't say.
    pub whole: Option<bool>,
}

/// Who votes, as one control gateway sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Voters {
    pub muster: Muster,
    /// False while a first start still takes others in: no order is taken.
    pub founded: bool,
    /// All control gateways that have a seat, are to have one, or could.
    pub members: Vec<Member>,
    /// What this gateway's own disk holds of each register: stamp and ballot. Of several survivors the one with the greatest
    /// ballots is the newest.
    pub holds: Vec<(Register, u64, Ballot)>,
    /// How the last change ended, and how many seconds ago.
    pub last: Option<(f64, Ended)>,
}

impl Control {
    /// Who votes, for people to look at.
    pub fn voters(&self, now: f64) -> Voters {
        let keepers = self.journal.roster.keepers();
        let mut nodes: Vec<Node> = keepers.iter().map(|k| k.node).chain(self.muster.voters()).collect();
        nodes.sort_unstable();
        nodes.dedup();
        let member = |node: Node| Member {
            node,
            zone: keepers.iter().find(|k| k.node == node).map(|k| k.zone.clone()),
            seat: self.muster.seats.contains(&node),
            comes: self.muster.coming.contains(&node),
            heard: self.membership.presence.silent(now, node),
            whole: self.membership.presence.whole(node),
        };
        let slots = self.voter.slots().into_iter();
        Voters {
            muster: self.muster.clone(),
            founded: self.membership.founded(),
            members: nodes.into_iter().map(member).collect(),
            holds: slots.filter_map(|(r, slot)| slot.held.map(|held| (r, held.stamp, held.ballot))).collect(),
            last: self.membership.last().map(|(at, ended)| (now - at, ended.clone())),
        }
    }
}
