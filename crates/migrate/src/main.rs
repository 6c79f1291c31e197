//! `archlink-migrate`: reads a gateway's configuration and the settings of the new shape, writes the counterpart, and
//! lists what it could not carry over. Owns arguments and files. Must never change the file that it reads, nor write
//! a file that a gateway would not start with.
#![forbid(unsafe_code)]

use archlink_migrate::counterpart;
use serde_json::Value;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "usage: archlink-migrate OLD --shape SHAPE [--write NEW | --dry-run] [--replace]

Reads OLD, a gateway's configuration, and SHAPE, the new deployment's settings object or the part of it that
differs. Writes the counterpart to NEW, or to standard output where none is named, and lists on standard error
what it could not carry over. OLD stays as it is.

  --dry-run   checks and lists, and writes nothing
  --replace   NEW may exist already
  --help      this text

Ends with 0 where all was carried over, 2 where something was not (NEW is written all the same), 1 where there is
no counterpart; nothing is written then.";

struct Asked {
    old: PathBuf,
    shape: PathBuf,
    new: Option<PathBuf>,
    dry: bool,
    replace: bool,
}

fn arguments() -> Result<Option<Asked>, lexopt::Error> {
    use lexopt::prelude::*;
    let (mut old, mut shape, mut new, mut dry, mut replace) = (None, None, None, false, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(next) = parser.next()? {
        match next {
            Value(path) if old.is_none() => old = Some(path.into()),
            Long("shape") => shape = Some(parser.value()?.into()),
            Long("write") => new = Some(parser.value()?.into()),
            Long("dry-run") => dry = true,
            Long("replace") => replace = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    let old = old.ok_or("OLD: missing")?;
    let shape = shape.ok_or("--shape: missing")?;
    Ok(Some(Asked { old, shape, new, dry, replace }))
}

fn json(path: &Path) -> Result<Value, String> {
    let at = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{at}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{at}: {e}"))
}

/// Whole or not at all: written beside its place and moved there.
fn put(path: &Path, text: &str, replace: bool) -> Result<(), String> {
    let at = path.display();
    if path.exists() && !replace {
        return Err(format!("{at}: exists; --replace writes over it"));
    }
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let written = std::fs::File::create(&beside)
        .and_then(|mut file| file.write_all(text.as_bytes()).and_then(|()| file.sync_all()))
        .and_then(|()| std::fs::rename(&beside, path));
    written.map_err(|e| {
        std::fs::remove_file(&beside).ok();
        format!("{at}: {e}")
    })
}

fn run(asked: &Asked) -> Result<bool, String> {
    let old = json(&asked.old)?;
    let found =
        counterpart(&old, &json(&asked.shape)?).map_err(|e| format!("{}: {e}", asked.old.display()))?;
    let same = |new: &PathBuf| new.canonicalize().ok() == asked.old.canonicalize().ok() && new.exists();
    if asked.new.as_ref().is_some_and(same) {
        return Err("--write: names OLD itself, which is the way back; name another file".into());
    }
    let text = serde_json::to_string_pretty(&found.file).map_err(|e| e.to_string())? + "\n";
    match &asked.new {
        _ if asked.dry => {}
        Some(new) => put(new, &text, asked.replace)?,
        None => std::io::stdout().write_all(text.as_bytes()).map_err(|e| format!("standard output: {e}"))?,
    }
    for (key, why) in &found.left {
        eprintln!("not carried over: {key}: {why}");
    }
    Ok(found.left.is_empty())
}

fn main() -> ExitCode {
    let asked = match arguments() {
        Ok(Some(asked)) => asked,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("archlink-migrate: {e}\n\n{USAGE}");
            return ExitCode::from(1);
        }
    };
    match run(&asked) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("archlink-migrate: {e}");
            ExitCode::from(1)
        }
    }
}
