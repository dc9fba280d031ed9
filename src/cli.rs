//! Parses the command line and reads the environment and the profile file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use serde::Deserialize;

use crate::cmd::CommandTask;
use crate::errors::CommandFault;

/// Printed for `--help`.
pub(crate) const HELP: &str = "\
Operator command line of the load balancer.

Usage: mustardrail [OPTIONS] COMMAND

Commands:
  put FILE                  create the record in FILE
  replace FILE --base N     replace the record at revision N with that in FILE
  retire KEY --base N       remove the record at revision N
  list                      list the records that the key may read
  show KEY                  print a record
  history KEY               print all changes of a record
  operation ID              print the outcome of a write
  status                    print the entry VM's view of the fleet
  hash-key                  print the SHA-256 of a key from standard input

KEY is account/kind/name/schema, for example samahan/service/talaan/2.

Options:
  --address IP:PORT   operator listener of any entry VM (or MUSTARDRAIL_ADDRESS)
  --key KEY           operator key (or MUSTARDRAIL_KEY)
  --profile FILE      JSON file with \"address\" and \"key\" (or MUSTARDRAIL_PROFILE)
  --operation ID      ID of the write; a repeat with the same ID has no effect
  --json              print JSON
  -h, --help          print this text
  --version           print the version

Exit status: 0 done, 1 failed, 2 invalid usage, 3 refused (nothing written),
4 unknown whether accepted, 5 accepted but not yet confirmed by a majority.
";

/// Address of the daemon and the operator key to use.
#[derive(Debug, Clone)]
pub(crate) struct DaemonAccess {
    pub(crate) address: SocketAddr,
    pub(crate) key: Box<str>,
}

/// Options and positional arguments before validation.
#[derive(Debug, Default)]
struct RawArguments {
    address: Option<Box<str>>,
    key: Option<Box<str>>,
    profile: Option<PathBuf>,
    operation: Option<Box<str>>,
    base: Option<u64>,
    is_json: bool,
    positionals: Vec<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccessProfile {
    address: Option<Box<str>>,
    key: Option<Box<str>>,
}

/// Parses the command line into a task.
pub(crate) fn read_arguments() -> Result<CommandTask, CommandFault> {
    let raw = match parse_options().map_err(CommandFault::usage)? {
        Ok(raw) => raw,
        Err(text) => return Ok(CommandTask::Print(text)),
    };
    let positionals: Vec<&str> = raw.positionals.iter().map(String::as_str).collect();
    let task = match positionals[..] {
        ["hash-key"] => return Ok(CommandTask::HashKey),
        ["put", file] => CommandTask::Put {
            access: resolve_access(&raw)?,
            file: file.into(),
            operation: raw.operation.clone(),
            is_json: raw.is_json,
        },
        ["replace", file] => CommandTask::Replace {
            access: resolve_access(&raw)?,
            file: file.into(),
            base: required_base(&raw)?,
            operation: raw.operation.clone(),
            is_json: raw.is_json,
        },
        ["retire", key] => CommandTask::Retire {
            access: resolve_access(&raw)?,
            key: key.into(),
            base: required_base(&raw)?,
            operation: raw.operation.clone(),
            is_json: raw.is_json,
        },
        ["list"] => CommandTask::List { access: resolve_access(&raw)?, is_json: raw.is_json },
        ["show", key] => CommandTask::Show {
            access: resolve_access(&raw)?,
            key: key.into(),
            is_json: raw.is_json,
        },
        ["history", key] => CommandTask::History {
            access: resolve_access(&raw)?,
            key: key.into(),
            is_json: raw.is_json,
        },
        ["operation", id] => CommandTask::Operation {
            access: resolve_access(&raw)?,
            id: id.into(),
            is_json: raw.is_json,
        },
        ["status"] => CommandTask::Status { access: resolve_access(&raw)?, is_json: raw.is_json },
        [] => return Err(CommandFault::usage("no command given")),
        [command, ..] => {
            let reason = format!("command \"{command}\" does not exist or takes other arguments");
            return Err(CommandFault::usage(reason));
        }
    };
    Ok(task)
}

/// Parses the options. Returns the inner `Err` with the text to print for `--help` and `--version`.
fn parse_options() -> Result<Result<RawArguments, String>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut raw = RawArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Err(HELP.into())),
            Long("version") => {
                return Ok(Err(format!("mustardrail {}\n", env!("CARGO_PKG_VERSION"))));
            }
            Long("address") => raw.address = Some(parser.value()?.string()?.into()),
            Long("key") => raw.key = Some(parser.value()?.string()?.into()),
            Long("profile") => raw.profile = Some(parser.value()?.into()),
            Long("operation") => raw.operation = Some(parser.value()?.string()?.into()),
            Long("base") => raw.base = Some(parser.value()?.parse()?),
            Long("json") => raw.is_json = true,
            Value(word) => raw.positionals.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Ok(raw))
}

fn required_base(raw: &RawArguments) -> Result<u64, CommandFault> {
    raw.base.ok_or_else(|| {
        CommandFault::usage("--base is required: the revision that the write is based on")
    })
}

/// Resolves address and key. Options take precedence over the environment, and the environment over
/// the profile.
fn resolve_access(raw: &RawArguments) -> Result<DaemonAccess, CommandFault> {
    let profile = load_profile(raw)?;
    let address = raw
        .address
        .clone()
        .or_else(|| non_empty_env("MUSTARDRAIL_ADDRESS"))
        .or(profile.address)
        .ok_or_else(|| {
            CommandFault::usage("no address given: use --address, MUSTARDRAIL_ADDRESS or a profile")
        })?;
    let key =
        raw.key.clone().or_else(|| non_empty_env("MUSTARDRAIL_KEY")).or(profile.key).ok_or_else(
            || CommandFault::usage("no key given: use --key, MUSTARDRAIL_KEY or a profile"),
        )?;
    let address = address.parse().map_err(|_| {
        CommandFault::usage(format!("address \"{address}\" is not an IP address and port"))
    })?;
    Ok(DaemonAccess { address, key })
}

fn non_empty_env(name: &str) -> Option<Box<str>> {
    std::env::var(name).ok().filter(|value| !value.is_empty()).map(Into::into)
}

fn load_profile(raw: &RawArguments) -> Result<AccessProfile, CommandFault> {
    let profile_path = raw.profile.clone().or_else(|| {
        non_empty_env("MUSTARDRAIL_PROFILE").map(|path| PathBuf::from(path.into_string()))
    });
    profile_path.as_deref().map_or_else(|| Ok(AccessProfile::default()), parse_profile)
}

fn parse_profile(path: &Path) -> Result<AccessProfile, CommandFault> {
    let path_display = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandFault::usage(format!("profile \"{path_display}\": {error}")))?;
    serde_json::from_str(&text)
        .map_err(|error| CommandFault::usage(format!("profile \"{path_display}\": {error}")))
}
