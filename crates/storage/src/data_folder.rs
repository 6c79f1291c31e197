//! Names of the files and folders in the data folder.

/// The file that holds the snapshot.
pub const SNAPSHOT: &str = "snapshot";

/// A snapshot that is still being written. It is renamed to [`SNAPSHOT`] once it is synced.
pub const TEMPORARY_SNAPSHOT: &str = "snapshot.new";

/// The log's folder in the legacy format, which had a single log.
pub const LEGACY_LOG: &str = "log";

/// Prefix of a log folder's name; the log number follows.
const LOG_PREFIX: &str = "log-";

/// Prefix of the name of an `okaywal` segment file in use; the id of its first entry follows.
const SEGMENT_PREFIX: &str = "wal-";

/// The name of the folder of the log with this number.
pub fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number}")
}

/// The log number in a log folder's name, or `None` for any other name.
pub fn log_number(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// An `okaywal` segment file in a log folder.
pub struct SegmentFile {
    /// The file name.
    pub name: String,
    /// The id of the first entry in the file.
    pub first_entry_id: u64,
}

/// Picks the segment files in use out of the file names in a log folder, in the order of their entries.
pub fn segment_files(names: Vec<String>) -> Vec<SegmentFile> {
    let mut files: Vec<SegmentFile> = names.into_iter().filter_map(segment_file).collect();
    files.sort_by_key(|file| file.first_entry_id);
    files
}

fn segment_file(name: String) -> Option<SegmentFile> {
    let first_entry_id = name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()?;
    Some(SegmentFile { name, first_entry_id })
}
