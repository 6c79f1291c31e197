//! Names of files in the data folder.

/// The snapshot.
pub const SNAPSHOT: &str = "snapshot";

/// A snapshot that is being written; renamed to [`SNAPSHOT`] once it is synced.
pub const TEMPORARY_SNAPSHOT: &str = "snapshot.new";

/// The log's folder in versions without numbers.
pub const LEGACY_LOG: &str = "log";

/// Before the number of a log's folder.
const LOG_PREFIX: &str = "log-";

/// Before the id of the first entry in a file of `okaywal`'s that is in use.
const SEGMENT_PREFIX: &str = "wal-";

/// The name of the log's folder of a number.
pub fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number}")
}

/// The number of a log's folder; none for other names.
pub fn log_number(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// A file of `okaywal`'s in a log's folder.
pub struct SegmentFile {
    /// Its name.
    pub name: String,
    /// The id of its first entry.
    pub first_entry_id: u64,
}

/// The files of `okaywal`'s that are in use among the names in a log's folder, in the order of their entries.
pub fn segment_files(names: Vec<String>) -> Vec<SegmentFile> {
    let mut files: Vec<SegmentFile> = names.into_iter().filter_map(segment_file).collect();
    files.sort_by_key(|file| file.first_entry_id);
    files
}

fn segment_file(name: String) -> Option<SegmentFile> {
    let first_entry_id = name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()?;
    Some(SegmentFile { name, first_entry_id })
}
