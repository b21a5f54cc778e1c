//! Reads the routers, the token and the author from the command line and the environment.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use catkin_operator::OperatorClient;
use clap::ArgMatches;

use crate::failure::CommandFailure;

/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "CATKIN_TOKEN";
/// Environment variable with the default author.
const USER_VARIABLE: &str = "USER";

/// Builds a client of the routers given on the command line.
pub(crate) fn build_client(matches: &ArgMatches) -> Result<OperatorClient, CommandFailure> {
    let routers = list_routers(matches);
    if routers.is_empty() {
        return Err(CommandFailure::NoRouter);
    }
    let client = OperatorClient::new(routers, read_token(matches)?);
    let timeout = matches.get_one::<u64>("timeout").copied();
    Ok(match timeout {
        Some(seconds) => client.with_timeout_seconds(seconds),
        None => client,
    })
}

/// Lists the routers given on the command line, in their order.
pub(crate) fn list_routers(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many("router").into_iter().flatten().copied().collect()
}

/// Chooses the author that is recorded with a revision: the argument, else the environment's user.
pub(crate) fn choose_author(matches: &ArgMatches) -> String {
    let author = matches.get_one::<String>("author").cloned();
    author.or_else(|| env::var(USER_VARIABLE).ok()).unwrap_or_else(|| "unknown".to_owned())
}

/// Reads the token from the file given on the command line, else from the environment.
fn read_token(matches: &ArgMatches) -> Result<String, CommandFailure> {
    let token = match matches.get_one::<PathBuf>("token-file") {
        Some(path) => fs::read_to_string(path)
            .map_err(|source| CommandFailure::TokenFile { path: path.clone(), source })?,
        None => env::var(TOKEN_VARIABLE)
            .map_err(|_| CommandFailure::NoToken { variable: TOKEN_VARIABLE })?,
    };
    Ok(token.trim().to_owned())
}
