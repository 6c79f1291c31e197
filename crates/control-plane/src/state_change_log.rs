//! What operators find in the log about contact, epochs and duties: each once, when it changes. Owns what was said last.
//! Must never act on any of it.

use crate::answer_names;
use crate::node::{FRESH, YOUNG};
use archlink_messages::{NodeId, SINGLETON_ROLES, SingletonRole, VoterSet};
use std::net::Ipv4Addr;

/// What is looked at each tick.
pub struct Seen<'a> {
    /// Seconds since a question was asked to which a majority answered.
    pub contact: Option<f64>,
    pub voter_set: &'a VoterSet,
    /// The term in which this gateway holds each duty.
    pub held: [(SingletonRole, Option<u64>); SINGLETON_ROLES.len()],
}

#[derive(Default)]
pub struct Notices {
    /// Since when there is contact, or none; not known before the first.
    contact: Option<(bool, f64)>,
    voter_set: VoterSet,
    held: [Option<u64>; SINGLETON_ROLES.len()],
}

fn list(nodes: &[NodeId]) -> String {
    nodes.iter().map(|&node| Ipv4Addr::from(node).to_string()).collect::<Vec<_>>().join(",")
}

impl Notices {
    /// The lines that are due.
    pub fn look(&mut self, now: f64, seen: &Seen) -> Vec<String> {
        let mut lines = Vec::new();
        let answers = seen.contact.is_some_and(|ago| ago <= FRESH);
        match self.contact {
            None if answers => {
                lines.push(format!("contact: a majority answers, {now:.1} s after the start"));
                self.contact = Some((true, now));
            }
            None if now > YOUNG => {
                lines.push("contact: no majority has answered since the start".to_string());
                self.contact = Some((false, 0.0));
            }
            Some((true, since)) if !answers => {
                let ago = seen.contact.unwrap_or(now);
                lines.push(format!(
                    "contact lost: no majority has answered for {ago:.1} s, after {:.0} s",
                    now - since
                ));
                self.contact = Some((false, now - ago));
            }
            Some((false, since)) if answers => {
                lines.push(format!("contact regained after {:.1} s", now - since));
                self.contact = Some((true, now));
            }
            _ => {}
        }
        if *seen.voter_set != self.voter_set {
            lines.extend(self.epoch(seen.voter_set));
            self.voter_set = seen.voter_set.clone();
        }
        for (before, (role, term)) in self.held.iter_mut().zip(seen.held) {
            match (*before, term) {
                (was, Some(term)) if was != Some(term) => {
                    lines.push(format!("{} won, term {term}", answer_names::role(role)))
                }
                (Some(was), None) => lines.push(format!("{} lost, term {was}", answer_names::role(role))),
                _ => {}
            }
            *before = term;
        }
        lines
    }

    fn epoch(&self, voter_set: &VoterSet) -> Vec<String> {
        let (before, epoch, seats) = (&self.voter_set, voter_set.epoch, list(&voter_set.voters));
        let mut lines = vec![match voter_set.is_joint() {
            true => format!("epoch {epoch}: {seats} vote, and {} with them", list(&voter_set.incoming)),
            false => format!("epoch {epoch}: {seats} vote"),
        }];
        // A joint epoch may have gone by between two looks: then its end is told by who votes.
        let came = if before.is_joint() {
            before.incoming == voter_set.voters
        } else {
            before.voters != voter_set.voters
        };
        if !before.is_known() {
        } else if voter_set.first_round() != before.first_round() {
            lines.push(format!("founded anew: {seats}; what other disks hold is void"));
        } else if voter_set.is_joint() {
            lines.push(format!("change of the voters begun: {seats} to {}", list(&voter_set.incoming)));
        } else if came {
            lines.push(format!("change of the voters ended: {seats}"));
        } else {
            lines.push(format!("change of the voters rolled back: {seats} as before"));
        }
        lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Each line comes once, when what it tells of changes; a change that ends is told from one that is rolled back.
    #[test]
    fn what_changes_is_said_once() {
        let mut notices = Notices::default();
        let mut look = |now, contact, voter_set: &VoterSet, tally| {
            let held = [(SingletonRole::HostDiscovery, None), (SingletonRole::QuotaCounter, tally)];
            notices.look(now, &Seen { contact, voter_set, held }).join("; ")
        };
        let first = VoterSet::initial(&[1, 2, 3]);
        let joint = first.enter_joint(vec![1, 2, 4]);
        assert_eq!(look(0.0, None, &first, None), "epoch 1: 0.0.0.1,0.0.0.2,0.0.0.3 vote");
        assert_eq!(
            look(1.0, Some(0.1), &first, Some(7)),
            "contact: a majority answers, 1.0 s after the start; Tally won, term 7"
        );
        assert_eq!(look(1.1, Some(0.2), &first, Some(7)), "");
        assert_eq!(
            look(5.0, Some(2.5), &first, None),
            "contact lost: no majority has answered for 2.5 s, after 4 s; Tally lost, term 7"
        );
        assert_eq!(look(6.0, Some(3.5), &first, None), "");
        let begun = "epoch 2: 0.0.0.1,0.0.0.2,0.0.0.3 vote, and 0.0.0.1,0.0.0.2,0.0.0.4 with them; \
            change of the voters begun: 0.0.0.1,0.0.0.2,0.0.0.3 to 0.0.0.1,0.0.0.2,0.0.0.4";
        assert_eq!(look(7.0, Some(0.1), &joint, None), format!("contact regained after 4.5 s; {begun}"));
        assert!(look(8.0, Some(0.1), &joint.leave_joint(&first.voters), None).contains("rolled back"));
        let mut notices = Notices { voter_set: joint.clone(), ..Notices::default() };
        let held = [(SingletonRole::HostDiscovery, None), (SingletonRole::QuotaCounter, None)];
        let ended = joint.leave_joint(&joint.incoming);
        assert!(notices.look(1.0, &Seen { contact: None, voter_set: &ended, held })[1].contains("ended"));
    }
}
