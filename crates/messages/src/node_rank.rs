//! An order of all data gateways that each of them knows without a message: what doesn't divide evenly among them goes to
//! those at its front. Another order for each subject, so that no gateway is always last. Must never hang on anything but
//! the subject and who there is.

use crate::NodeId;

/// A gateway's place in the order of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRank {
    pub rank: usize,
    /// 0: it isn't known yet who is there.
    pub nodes: usize,
}

impl NodeRank {
    /// `gateways` are all that may be at work, `me` among them; one that they leave out has no place.
    pub fn of(me: NodeId, subject: &str, gateways: &[NodeId]) -> NodeRank {
        let key = subject.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        // The last step of a well-mixed 64-bit generator: neighbouring numbers land far apart.
        let drawn = |node: NodeId| {
            let sum = (key ^ u64::from(node)).wrapping_add(0x9e37_79b9_7f4a_7c15);
            let sum = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let sum = (sum ^ (sum >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            (sum ^ (sum >> 31), node)
        };
        let mine = drawn(me);
        let known = gateways.contains(&me);
        let rank = gateways.iter().filter(|&&node| drawn(node) < mine).count();
        NodeRank { rank, nodes: if known { gateways.len() } else { 0 } }
    }

    /// This gateway's part of `all` that are given out.
    pub fn portion(&self, all: usize) -> usize {
        match self.nodes {
            0 => 0,
            gateways => all / gateways + usize::from(self.rank < all % gateways),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All parts together are what is given out, for any number, and nobody is favoured over many subjects.
    #[test]
    fn parts_add_up_and_every_gateway_has_its_turn() {
        let gateways: Vec<NodeId> = (0..92).map(|n| 0x0a01_0020 + n * 7).collect();
        let mut had = vec![0; gateways.len()];
        for subject in 0..400 {
            let subject = format!("t{subject}");
            let parts: Vec<usize> =
                gateways.iter().map(|&g| NodeRank::of(g, &subject, &gateways).portion(45)).collect();
            assert_eq!(parts.iter().sum::<usize>(), 45);
            had.iter_mut().zip(parts).for_each(|(had, part)| *had += part);
        }
        assert!(had.iter().all(|n| (120..280).contains(n)), "{had:?}");
        assert_eq!(NodeRank::of(1, "t", &gateways).portion(45), 0);
    }
}
