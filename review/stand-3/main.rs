//! Stand-ins of the platform's store, of servers and of requesters, and the scripts of the cases of the third
//! review. `stand-3 CASE FOLDER` plays a case from the root of the repository and writes FOLDER/record.txt;
//! `stand-3 server ...` is one stand-in server, a process of its own.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod fleet;
mod requester;
mod server;
mod store;

use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["server", options @ ..] => server::run(options),
        [case, folder] => match cases::play(case, folder) {
            Ok(is_broken) => exit(i32::from(is_broken)),
            Err(reason) => {
                eprintln!("the case could not run: {reason}");
                exit(2)
            }
        },
        _ => {
            eprintln!("usage: stand-3 CASE FOLDER");
            exit(2)
        }
    }
}
