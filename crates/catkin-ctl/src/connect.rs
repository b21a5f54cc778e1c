//! Finds the routers and the token that the command line names.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use catkin_operator::OperatorClient;
use clap::ArgMatches;

use crate::failure::CommandFailure;

const TOKEN_VARIABLE: &str = "CATKIN_TOKEN";
const USER_VARIABLE: &str = "USER";

/// A client of the routers that the command line names.
pub(crate) fn connect_client(matches: &ArgMatches) -> Result<OperatorClient, CommandFailure> {
    let routers = named_routers(matches);
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

/// The routers that the command line names, in its order.
pub(crate) fn named_routers(matches: &ArgMatches) -> Vec<SocketAddr> {
    matches.get_many("router").into_iter().flatten().copied().collect()
}

/// Who applies, as recorded with the revision.
pub(crate) fn read_author(matches: &ArgMatches) -> String {
    let named = matches.get_one::<String>("author").cloned();
    named.or_else(|| env::var(USER_VARIABLE).ok()).unwrap_or_else(|| "unknown".to_owned())
}

fn read_token(matches: &ArgMatches) -> Result<String, CommandFailure> {
    let token = match matches.get_one::<PathBuf>("token-file") {
        Some(path) => fs::read_to_string(path)
            .map_err(|source| CommandFailure::TokenFile { path: path.clone(), source })?,
        None => env::var(TOKEN_VARIABLE)
            .map_err(|_| CommandFailure::NoToken { variable: TOKEN_VARIABLE })?,
    };
    Ok(token.trim().to_owned())
}
