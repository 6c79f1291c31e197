//! What a control gateway tells others of itself and of what it holds: heartbeats, and the pieces that somebody lacks by a
//! vector of versions. Must never give out as standing what was chosen under an earlier founding.

use super::Control;
use crate::Act;
use crate::journal::Event;
use archlink_messages::{Beat, Node, Piece, Register, Vector, Word};

impl Control {
    pub fn greeting(&self) -> Word {
        Word::Greet { keeper: self.journal.roster.keeper.clone(), muster: self.muster.clone() }
    }

    pub fn vector(&self, now: f64) -> Vector {
        let stamp = |register| self.standing(register).map_or(0, |held| held.order());
        Vector {
            chart: stamp(Register::Chart),
            evacuations: stamp(Register::Evacuations),
            hosts: (self.journal.hosts.term, self.journal.hosts.version),
            keepers: self.journal.roster.keepers_stamp(now),
            pilots: if self.knows_pilots(now) { self.journal.roster.counted_stamp() } else { 0 },
            sessions: self.journal.roster.vector(now),
        }
    }

    /// A sign of life; `serial` is the hail that it answers.
    pub fn beat(&self, now: f64, serial: u64) -> Word {
        Word::Beat(Beat {
            serial,
            clock: self.clock(now),
            confirmed: self.confirmed().map(|at| now - at),
            vector: self.vector(now),
            posts: self.duties.posts(now),
            muster: self.muster.clone(),
            whole: self.voter.whole(),
            missing: self.membership.missing(now),
        })
    }

    /// What somebody with that vector lacks of what is held here.
    pub fn lacking(&self, now: f64, theirs: &Vector, sessions: bool) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for (register, stamp) in
            [(Register::Chart, theirs.chart), (Register::Evacuations, theirs.evacuations)]
        {
            pieces.extend(
                self.standing(register)
                    .filter(|h| h.order() > stamp)
                    .map(|h| Piece::Chosen(register, h.clone())),
            );
        }
        if (self.journal.hosts.term, self.journal.hosts.version) > theirs.hosts {
            pieces.push(Piece::Hosts(self.journal.hosts.clone()));
        }
        if self.journal.roster.keepers_stamp(now) != theirs.keepers {
            pieces.push(Piece::Keepers(self.journal.roster.named_keepers(now)));
        }
        // Data gateways hear who else there is, control gateways of sessions.
        if !sessions && self.knows_pilots(now) && self.journal.roster.counted_stamp() != theirs.pilots {
            pieces.push(Piece::Pilots(self.journal.roster.counted()));
        }
        let own = self.journal.roster.sessions();
        if sessions && !theirs.sessions.contains(&(own.source, own.boot, own.version)) {
            pieces.push(Piece::Sessions(own));
        }
        if sessions {
            pieces.extend(self.journal.roster.relayed(now, &theirs.sessions).map(Piece::Sessions));
        }
        pieces
    }

    /// Does that vector, of `from`, name anything that is not held here?
    pub(super) fn lacks(&self, now: f64, from: Node, theirs: &Vector) -> bool {
        let mine = self.vector(now);
        let theirs_own = theirs.sessions.iter().find(|(node, _, _)| *node == from);
        theirs.chart > mine.chart
            || theirs.evacuations > mine.evacuations
            || theirs.hosts > mine.hosts
            || theirs.keepers != mine.keepers
            || theirs_own.is_some_and(|own| !mine.sessions.contains(own))
            || self.journal.roster.lacks(now, &theirs.sessions)
    }

    pub fn take(&mut self, now: f64, pieces: Vec<Piece>) -> Vec<Act> {
        let mut acts = Vec::new();
        for piece in pieces {
            match piece {
                Piece::Chosen(register, held) => acts.extend(self.helm.learn(register, &held)),
                Piece::Hosts(hosts) => drop(self.journal.append(now, Event::Listed(hosts))),
                Piece::Keepers(keepers) => {
                    for keeper in keepers {
                        self.journal.append(now, Event::Met(keeper));
                    }
                }
                Piece::Sessions(sessions) => drop(self.journal.append(now, Event::Told(sessions))),
                // For data gateways alone.
                Piece::Chart { .. } | Piece::HostsPatch { .. } | Piece::Pilots(_) => {}
            }
        }
        acts
    }

    pub(super) fn others(&self) -> impl Iterator<Item = Node> {
        self.journal.roster.keepers().into_iter().map(|k| k.node).filter(|&node| node != self.me)
    }

    /// Signs of life to all other control gateways at once, as something is new here.
    pub fn beat_all(&mut self, now: f64) -> Vec<Act> {
        self.beat_at = now;
        let beat = self.beat(now, 0);
        self.others().map(|node| Act::Send(node, beat.clone())).collect()
    }
}
