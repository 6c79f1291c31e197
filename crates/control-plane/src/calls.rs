//! The table of calls: where each is found, and what it may say while no majority answers this gateway. Owns paths and the
//! rule of contact. Must never hold what a call does.

use strum::{EnumIter, IntoEnumIterator};

/// What a call rests on, and so what it says at a gateway that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rests {
    /// On a majority's word after the call began; 503 where none comes.
    Confirmed,
    /// On a majority that answered lately: without one it is not begun, and says so at once.
    Contact,
    /// On a person's word, given where no majority is left.
    Person,
    /// On sessions and what others told of theirs: they end by themselves (`archlink_consensus::roster`), the answer by its `Ttl`.
    Sessions,
    /// On what this gateway knows, told with its age.
    Own,
}

/// A path that ends in a slash is followed by names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Call {
    Replace,
    Read,
    Begin,
    Finish,
    Voters,
    VotersReplace,
    VotersRefound,
    Resolution,
    Members,
    Hosts,
    Duties,
    Quota,
    Journal,
}

impl Call {
    /// Method, path, and what the answer rests on.
    fn row(self) -> (&'static str, &'static str, Rests) {
        match self {
            Call::Replace => ("POST", "/archlink/Configuration.Replace", Rests::Contact),
            Call::Read => ("GET", "/archlink/Configuration.Read", Rests::Confirmed),
            Call::Begin => ("POST", "/archlink/Evacuation.Begin/", Rests::Contact),
            Call::Finish => ("POST", "/archlink/Evacuation.Finish/", Rests::Contact),
            Call::Voters => ("GET", "/archlink/voters", Rests::Own),
            Call::VotersReplace => ("POST", "/archlink/Voters.Replace/", Rests::Contact),
            Call::VotersRefound => ("POST", "/archlink/Voters.Refound", Rests::Person),
            Call::Resolution => ("GET", "/archlink/resolution", Rests::Sessions),
            Call::Members => ("GET", "/archlink/members", Rests::Own),
            Call::Hosts => ("GET", "/archlink/hosts", Rests::Own),
            Call::Duties => ("GET", "/archlink/duties", Rests::Own),
            Call::Quota => ("GET", "/archlink/quota", Rests::Own),
            Call::Journal => ("GET", "/archlink/journal", Rests::Own),
        }
    }

    pub fn method(self) -> &'static str {
        self.row().0
    }

    pub fn path(self) -> &'static str {
        self.row().1
    }

    pub fn rests(self) -> Rests {
        self.row().2
    }

    /// The call at a path, and the names that follow it.
    pub fn at(path: &str) -> Option<(Call, &str)> {
        Call::iter().find_map(|call| {
            let rest = path.strip_prefix(call.path())?;
            (rest.is_empty() != call.path().ends_with('/')).then_some((call, rest))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_found_at_its_place_and_nowhere_else() {
        for call in Call::iter() {
            let place = call.path();
            let path = if place.ends_with('/') { format!("{place}name") } else { place.to_string() };
            assert_eq!(Call::at(&path).map(|found| found.0), Some(call));
            assert_eq!(Call::at(&format!("/x{path}")), None);
            let alters = matches!(call.rests(), Rests::Contact | Rests::Person);
            assert_eq!(alters, call.method() == "POST");
        }
        assert_eq!(Call::at("/archlink/Evacuation.Begin/"), None);
        assert_eq!(Call::at("/archlink/Configuration.ReadX"), None);
    }
}
