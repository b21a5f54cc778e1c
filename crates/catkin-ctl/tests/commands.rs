//! Commands against an operators' listener with a fake fleet: output, exit codes, and which
//! requests are sent.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use catkin_base::digest_hex;
use catkin_ctl::{ExitStatus, run_command};
use catkin_operator::{
    ApplyAnswer, ApplyRequest, ChunkRefs, DrainAnswer, FleetStatus, HistoryAnswer, MemberStatus,
    OperatorError, OperatorListener, OperatorService, PlatformStatus, RevisionAnswer, RevisionHead,
    RollbackRequest, ServerStatus,
};
use catkin_settings::{FleetDeclarations, parse_declaration_files, read_declaration_files};

const TOKEN: &str = "token of the tests";

const FIRST_REVISION: u64 = 3;

/// A fleet of two live routers and a dead one. If `lagging`, the second router stays at the first
/// revision.
struct FakeFleet {
    revision: Mutex<u64>,
    lagging: bool,
    applied: Mutex<Vec<String>>,
}

impl FakeFleet {
    fn start(lagging: bool) -> RunningFleet {
        let fleet =
            Self { revision: Mutex::new(FIRST_REVISION), lagging, applied: Mutex::new(Vec::new()) };
        let fleet = Arc::new(fleet);
        let address = "127.0.0.1:0".parse().expect("an address");
        let digest = digest_hex(TOKEN.as_bytes());
        let listener = OperatorListener::start(address, &fleet, &digest).expect("loopback");
        RunningFleet { fleet, listener }
    }

    fn revision(&self) -> u64 {
        *self.revision.lock().expect("no thread panics with the lock")
    }

    fn accept(&self, base: Option<u64>, apply_id: String) -> Result<ApplyAnswer, OperatorError> {
        let mut revision = self.revision.lock().expect("no thread panics with the lock");
        let mut applied = self.applied.lock().expect("no thread panics with the lock");
        if let Some(index) = applied.iter().position(|id| *id == apply_id) {
            let made = FIRST_REVISION + 1 + index as u64;
            return Ok(ApplyAnswer { revision: made, digest: "d".to_owned(), unchanged: true });
        }
        if base != Some(*revision) {
            let changed = vec!["teams.giesserei-thun".to_owned()];
            return Err(OperatorError::Conflict { revision: *revision, changed });
        }
        *revision += 1;
        applied.push(apply_id);
        Ok(ApplyAnswer { revision: *revision, digest: "d4".to_owned(), unchanged: false })
    }
}

impl OperatorService for FakeFleet {
    fn status(&self) -> FleetStatus {
        let reported = if self.lagging { 3 } else { self.revision() };
        FleetStatus {
            router: "entry-1".to_owned(),
            domain: "aarau".to_owned(),
            revision: Some(self.revision()),
            members: vec![
                member("entry-1", "alive", self.revision()),
                member("entry-2", "alive", reported),
                member("entry-3", "dead", 1),
            ],
            servers: vec![server("estimator-01")],
            platform: PlatformStatus {
                healthy: true,
                calls: [("get".to_owned(), 12)].into(),
                failed: 1,
                held_back: 0,
            },
            ..FleetStatus::default()
        }
    }

    fn declarations(&self) -> Result<RevisionAnswer, OperatorError> {
        let mut declarations = read_example();
        declarations.teams.remove("giesserei-thun");
        declarations.limits.retry_percent = 99;
        Ok(RevisionAnswer { revision: self.revision(), digest: "d3".to_owned(), declarations })
    }

    fn history(&self) -> Result<HistoryAnswer, OperatorError> {
        Ok(HistoryAnswer { revisions: vec![head(3, u64::MAX), head(2, 0)] })
    }

    fn apply(&self, request: ApplyRequest) -> Result<ApplyAnswer, OperatorError> {
        self.accept(request.base, request.apply_id)
    }

    fn rollback(&self, request: RollbackRequest) -> Result<ApplyAnswer, OperatorError> {
        self.accept(request.base, request.apply_id)
    }

    fn drain(&self) -> Result<DrainAnswer, OperatorError> {
        Ok(DrainAnswer { open: 7 })
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn is_ready(&self) -> bool {
        true
    }
}

fn member(vm: &str, state: &str, revision: u64) -> MemberStatus {
    MemberStatus {
        vm: vm.to_owned(),
        state: state.to_owned(),
        domain: "aarau".to_owned(),
        revision: Some(revision),
    }
}

fn server(name: &str) -> ServerStatus {
    ServerStatus {
        name: name.to_owned(),
        state: "live".to_owned(),
        owner: "entry-2".to_owned(),
        open: 5,
        bound: 9,
        leaving: true,
        held_down: false,
    }
}

fn head(revision: u64, applied_unix_millis: u64) -> RevisionHead {
    RevisionHead {
        revision,
        digest: "0123456789abcdef".to_owned(),
        base: revision - 1,
        apply_id: "a".to_owned(),
        author: "tester".to_owned(),
        comment: "more slots".to_owned(),
        applied_unix_millis,
        chunks: ChunkRefs { common: String::new(), servers: vec![], team_groups: vec![] },
    }
}

fn example_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/swiss/declarations")
}

fn read_example() -> FleetDeclarations {
    let files = read_declaration_files(&example_folder()).expect("the example is readable");
    parse_declaration_files(&files).expect("the example is valid").declarations
}

/// Writes a file into the folder of this test run, and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder is writable");
    path.display().to_string()
}

struct RunningFleet {
    fleet: Arc<FakeFleet>,
    listener: OperatorListener,
}

/// Output and result of a command.
struct CommandResult {
    exit_status: ExitStatus,
    output: String,
    errors: String,
}

impl RunningFleet {
    fn run(&self, arguments: &[&str]) -> CommandResult {
        let address = self.listener.address().to_string();
        let token = write_file(&format!("token-{}", self.listener.address().port()), TOKEN);
        let named = ["--router", &address, "--token-file", &token];
        run(&[arguments, &named].concat())
    }
}

fn run(arguments: &[&str]) -> CommandResult {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let arguments = [&["catkin-ctl"], arguments].concat();
    let exit_status = run_command(arguments, &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    CommandResult { exit_status, output: text(output), errors: text(errors) }
}

fn example_path() -> String {
    example_folder().display().to_string()
}

#[test]
fn check_accepts_the_example_and_shows_errors_with_their_lines() {
    let faulty = write_file("faulty.json", "{\n  \"deployment\": \"x\",\n  \"colour\": 1\n}");

    let valid = run(&["check", &example_path()]);
    let refused = run(&["check", &faulty]);
    let as_json = run(&["check", &faulty, "--json"]);

    assert_eq!(valid.exit_status, ExitStatus::Done, "{}", valid.errors);
    assert_eq!(refused.exit_status, ExitStatus::Failed);
    assert!(refused.errors.contains("unknown field `colour`"), "{}", refused.errors);
    assert!(refused.errors.contains("faulty.json:3"), "{}", refused.errors);
    assert_eq!(as_json.exit_status, ExitStatus::Failed);
    assert!(as_json.output.contains("\"line\": 3"), "{}", as_json.output);
}

#[test]
fn check_of_router_settings() {
    let path = example_folder().join("../router.json").display().to_string();

    let valid = run(&["check", "--kind", "router", &path]);
    let wrong_kind = run(&["check", &path]);

    assert_eq!(valid.exit_status, ExitStatus::Done, "{}", valid.errors);
    assert_eq!(wrong_kind.exit_status, ExitStatus::Failed);
}

#[test]
fn diff_marks_what_is_added_and_changed() {
    let fleet = FakeFleet::start(false);

    let diff = fleet.run(&["diff", &example_path()]);

    assert_eq!(diff.exit_status, ExitStatus::Done, "{}", diff.errors);
    let expected = "2 changes from revision 3\n~ limits.retry_percent\n+ teams.giesserei-thun\n";
    assert_eq!(diff.output, expected);
}

#[test]
fn apply_waits_for_every_live_router() {
    let fleet = FakeFleet::start(false);

    let applied = fleet.run(&["apply", &example_path(), "--base", "3"]);

    assert_eq!(applied.exit_status, ExitStatus::Done, "{}", applied.errors);
    assert!(applied.output.ends_with("in force on every live router\n"));
}

#[test]
fn apply_names_the_routers_that_lack_the_revision() {
    let fleet = FakeFleet::start(true);

    let applied = fleet.run(&["apply", &example_path(), "--base", "3", "--wait", "0"]);

    assert_eq!(applied.exit_status, ExitStatus::NotInForce);
    assert!(applied.errors.contains("revision 4 is accepted, but not in force on entry-2"));
}

#[test]
fn apply_on_an_old_base_is_a_conflict_that_names_the_changes() {
    let fleet = FakeFleet::start(false);

    let applied = fleet.run(&["apply", &example_path(), "--base", "2"]);

    assert_eq!(applied.exit_status, ExitStatus::Conflict);
    assert!(applied.errors.contains("teams.giesserei-thun"), "{}", applied.errors);
    assert!(fleet.fleet.applied.lock().expect("no thread panics").is_empty());
}

#[test]
fn invalid_declarations_are_not_sent() {
    let fleet = FakeFleet::start(false);
    let faulty = write_file("faulty-apply.json", "{}");

    let applied = fleet.run(&["apply", &faulty, "--base", "3"]);

    assert_eq!(applied.exit_status, ExitStatus::Failed);
    assert_eq!(fleet.fleet.revision(), 3);
}

#[test]
fn repeated_command_has_the_same_apply_id() {
    let (first, second) = (FakeFleet::start(false), FakeFleet::start(false));

    first.run(&["apply", &example_path(), "--base", "3"]);
    second.run(&["apply", &example_path(), "--base", "3"]);

    let applied = |fleet: &RunningFleet| fleet.fleet.applied.lock().expect("unlocked").clone();
    assert_eq!(applied(&first).len(), 1);
    assert_eq!(applied(&first), applied(&second));
}

#[test]
fn apply_repeated_after_a_newer_revision_reports_it() {
    let fleet = FakeFleet::start(false);
    fleet.run(&["apply", &example_path(), "--base", "3"]);
    fleet.run(&["rollback", "2"]);

    let repeated = fleet.run(&["apply", &example_path(), "--base", "3"]);

    assert_eq!(repeated.exit_status, ExitStatus::Done, "{}", repeated.errors);
    assert!(repeated.output.ends_with("revision 5 has replaced it since\n"));
}

#[test]
fn rollback_defaults_to_the_revision_in_force_as_its_base() {
    let fleet = FakeFleet::start(false);

    let back = fleet.run(&["rollback", "2"]);

    assert_eq!(back.exit_status, ExitStatus::Done, "{}", back.errors);
    assert!(back.output.contains("revision 4 is accepted"));
}

#[test]
fn status_history_show_and_drain_are_written() {
    let fleet = FakeFleet::start(false);

    let status = fleet.run(&["status"]);
    let history = fleet.run(&["history"]);
    let show = fleet.run(&["show"]);
    let drain = fleet.run(&["drain"]);

    assert!(status.output.contains("estimator-01  live   entry-2  5     9      leaving"));
    assert!(status.output.contains("entry-3  dead   aarau   1"));
    assert!(history.output.contains("0123456789ab  more slots"), "{}", history.output);
    let shown = catkin_settings::parse_declarations(&show.output, "shown.json");
    assert!(shown.is_ok(), "what is shown can be applied: {:?}", shown.err());
    assert!(drain.output.contains("7 requests are open"));
}

#[test]
fn status_as_json_is_the_status_document() {
    let fleet = FakeFleet::start(false);

    let status = fleet.run(&["status", "--json"]);

    let read: FleetStatus = serde_json::from_str(&status.output).expect("the document");
    assert_eq!(read, fleet.fleet.status());
}

#[test]
fn invalid_command_lines_and_failures_have_different_exit_codes() {
    let missing_base = run(&["apply", "x.json"]);
    let no_router = run(&["status"]);
    let help = run(&["--help"]);
    let unreadable = run(&["check", "/nonexistent/x.json"]);

    assert_eq!(missing_base.exit_status, ExitStatus::Usage);
    assert_eq!(no_router.exit_status, ExitStatus::Usage);
    assert_eq!(help.exit_status, ExitStatus::Done);
    assert!(help.output.contains("Exit codes:"));
    assert_eq!(unreadable.exit_status, ExitStatus::Failed);
}

#[test]
fn wrong_token_is_a_failure() {
    let fleet = FakeFleet::start(false);
    let address = fleet.listener.address().to_string();
    let token = write_file("wrong-token", "guess");

    let status = run(&["status", "--router", &address, "--token-file", &token]);

    assert_eq!(status.exit_status, ExitStatus::Failed);
    assert!(status.errors.contains("the token is missing or unknown"));
}
