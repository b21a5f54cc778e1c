//! Definition of the command line: commands, arguments and help.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

/// Name of the program.
pub(crate) const PROGRAM: &str = "catkin-ctl";

/// Default time to wait for an accepted revision to be in force on every live router.
const DEFAULT_WAIT_SECONDS: &str = "10";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed
  2  invalid command line
  3  the base is not the revision in force
  4  accepted, but not in force on every live router when the wait ended";

/// Builds the complete command line.
pub(crate) fn build_command() -> Command {
    Command::new(PROGRAM)
        .about("Checks, applies and shows the declarations of a catkinpitch fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(build_global_arguments())
        .subcommands(build_file_commands())
        .subcommands(build_router_commands())
}

fn build_global_arguments() -> [Arg; 4] {
    [
        Arg::new("router")
            .long("router")
            .value_name("IP:PORT")
            .help("Address of a router's operator API; repeat it to try several in order")
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .global(true),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .help("File with the operators' token [default: the token in CATKIN_TOKEN]")
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .help("Timeout of a request to a router, in seconds")
            .default_value("30")
            .value_parser(value_parser!(u64).range(1..=3600))
            .global(true),
        Arg::new("json")
            .long("json")
            .help("Print JSON instead of text")
            .action(ArgAction::SetTrue)
            .global(true),
    ]
}

fn build_file_commands() -> [Command; 4] {
    [
        Command::new("check")
            .about("Checks declarations or a router's settings without contacting a router")
            .arg(build_path_argument())
            .arg(
                Arg::new("kind")
                    .long("kind")
                    .value_parser(["declarations", "router"])
                    .default_value("declarations")
                    .help("Content of the file: a fleet's declarations or a router's settings"),
            ),
        Command::new("diff")
            .about("Shows what would change if the declarations were applied")
            .arg(build_path_argument()),
        Command::new("apply")
            .about(
                "Puts declarations in force atomically, and waits until every live router has them",
            )
            .arg(build_path_argument())
            .arg(build_base_argument().required(true))
            .args(build_metadata_arguments())
            .arg(build_wait_argument()),
        Command::new("completions").about("Prints completions for a shell").arg(
            Arg::new("shell").required(true).value_name("SHELL").value_parser(value_parser!(Shell)),
        ),
    ]
}

fn build_router_commands() -> [Command; 5] {
    [
        Command::new("status")
            .about("Shows the state of routers, servers, leases, quarantine and the platform"),
        Command::new("show").about("Prints the declarations in force"),
        Command::new("history").about("Lists the newest revisions"),
        Command::new("rollback")
            .about("Applies the declarations of an older revision as a new revision")
            .arg(
                Arg::new("revision")
                    .required(true)
                    .value_name("REVISION")
                    .help("Number of the older revision, as listed by history")
                    .value_parser(value_parser!(u64)),
            )
            .arg(build_base_argument())
            .args(build_metadata_arguments())
            .arg(build_wait_argument()),
        Command::new("drain").about("Drains the first router given by --router"),
    ]
}

fn build_path_argument() -> Arg {
    Arg::new("path")
        .required(true)
        .value_name("PATH")
        .help("File, or folder whose .json files are merged, including subfolders")
        .value_parser(value_parser!(PathBuf))
}

fn build_base_argument() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .help("Revision on which the change is based; 0 if none was in force")
        .value_parser(value_parser!(u64))
}

fn build_metadata_arguments() -> [Arg; 2] {
    [
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .help("Author recorded with the revision; default: the environment variable USER"),
        Arg::new("comment")
            .long("comment")
            .short('m')
            .value_name("TEXT")
            .default_value("")
            .help("Reason recorded with the revision"),
    ]
}

fn build_wait_argument() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .help("Maximum time to wait until every live router uses the revision, in seconds")
        .default_value(DEFAULT_WAIT_SECONDS)
        .value_parser(value_parser!(u64).range(0..=3600))
}
