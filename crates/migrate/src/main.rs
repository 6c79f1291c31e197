//! `archlink-migrate` reads a gateway's configuration and the settings of a new shape, writes the migrated configuration, and
//! lists the keys that it could not carry over. It never changes the configuration that it reads, and never writes one with
//! which a gateway would not start.

use archlink_migrate::{MigrationError, migrate_configuration};
use serde_json::Value;
use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "usage: archlink-migrate OLD --shape SHAPE [--write NEW | --dry-run] [--replace]

Reads OLD, a gateway's configuration, and SHAPE, the new deployment's settings object or the part of it that
differs. Writes the migrated configuration to NEW, or to standard output if NEW is not given, and lists on
standard error the keys that it could not carry over. Never changes OLD.

  --dry-run   check and list only, write nothing
  --replace   overwrite NEW if it exists
  --help      print this text

Exit status: 0 if all keys were carried over, 2 if some were not (NEW is written nevertheless), 1 if the migration
failed and nothing was written.";

/// Exit status of a failed migration.
const MIGRATION_FAILED: u8 = 1;
/// Exit status of a migration that dropped keys.
const NOT_ALL_CARRIED_OVER: u8 = 2;

/// The command line.
struct Arguments {
    old: PathBuf,
    shape: PathBuf,
    new: Option<PathBuf>,
    dry_run: bool,
    replace: bool,
}

/// Why the command failed.
enum CommandError {
    Read(PathBuf, io::Error),
    Parse(PathBuf, serde_json::Error),
    Migration(PathBuf, MigrationError),
    /// The output file is the configuration that was read.
    SameFile,
    Exists(PathBuf),
    Write(PathBuf, io::Error),
    StandardOutput(io::Error),
    Encode(serde_json::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Read(path, error) | CommandError::Write(path, error) => {
                write!(f, "{}: {error}", path.display())
            }
            CommandError::Parse(path, error) => write!(f, "{}: {error}", path.display()),
            CommandError::Migration(path, error) => write!(f, "{}: {error}", path.display()),
            CommandError::SameFile => {
                f.write_str("--write: names OLD itself, which is needed to roll back; name another file")
            }
            CommandError::Exists(path) => {
                write!(f, "{}: already exists; use --replace to overwrite it", path.display())
            }
            CommandError::StandardOutput(error) => write!(f, "standard output: {error}"),
            CommandError::Encode(error) => error.fmt(f),
        }
    }
}

/// Parses the command line. Returns `None` if the usage is requested.
fn arguments() -> Result<Option<Arguments>, lexopt::Error> {
    use lexopt::prelude::*;
    let (mut old, mut shape, mut new, mut dry_run, mut replace) = (None, None, None, false, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(next) = parser.next()? {
        match next {
            Value(path) if old.is_none() => old = Some(path.into()),
            Long("shape") => shape = Some(parser.value()?.into()),
            Long("write") => new = Some(parser.value()?.into()),
            Long("dry-run") => dry_run = true,
            Long("replace") => replace = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    let old = old.ok_or("OLD: missing")?;
    let shape = shape.ok_or("--shape: missing")?;
    Ok(Some(Arguments { old, shape, new, dry_run, replace }))
}

fn read_json(path: &Path) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::Read(path.into(), error))?;
    serde_json::from_str(&text).map_err(|error| CommandError::Parse(path.into(), error))
}

/// Writes a file atomically: writes a temporary file in the same folder, syncs it, and renames it.
fn write_file(path: &Path, text: &str, replace: bool) -> Result<(), CommandError> {
    if path.exists() && !replace {
        return Err(CommandError::Exists(path.into()));
    }
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".part");
    let temporary = PathBuf::from(temporary);
    let written = std::fs::File::create(&temporary)
        .and_then(|mut file| file.write_all(text.as_bytes()).and_then(|()| file.sync_all()))
        .and_then(|()| std::fs::rename(&temporary, path));
    written.map_err(|error| {
        std::fs::remove_file(&temporary).ok();
        CommandError::Write(path.into(), error)
    })
}

fn is_same_file(new: &Path, old: &Path) -> bool {
    new.exists() && new.canonicalize().ok() == old.canonicalize().ok()
}

/// Runs the migration. Returns whether all keys were carried over.
fn run(arguments: &Arguments) -> Result<bool, CommandError> {
    let old = read_json(&arguments.old)?;
    let shape = read_json(&arguments.shape)?;
    let migrated = migrate_configuration(&old, &shape)
        .map_err(|error| CommandError::Migration(arguments.old.clone(), error))?;
    if arguments.new.as_ref().is_some_and(|new| is_same_file(new, &arguments.old)) {
        return Err(CommandError::SameFile);
    }
    let text = serde_json::to_string_pretty(&migrated.configuration).map_err(CommandError::Encode)? + "\n";
    match &arguments.new {
        _ if arguments.dry_run => {}
        Some(new) => write_file(new, &text, arguments.replace)?,
        None => io::stdout().write_all(text.as_bytes()).map_err(CommandError::StandardOutput)?,
    }
    for dropped in &migrated.dropped {
        eprintln!("not carried over: {}: {}", dropped.key, dropped.reason);
    }
    Ok(migrated.dropped.is_empty())
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("archlink-migrate: {error}\n\n{USAGE}");
            return ExitCode::from(MIGRATION_FAILED);
        }
    };
    match run(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(NOT_ALL_CARRIED_OVER),
        Err(error) => {
            eprintln!("archlink-migrate: {error}");
            ExitCode::from(MIGRATION_FAILED)
        }
    }
}
