//! The operators' listener and client over loopback: authentication, refusals, failover to the next
//! router, and joining of the worker threads.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use catkin_base::digest_hex;
use catkin_operator::{
    ApplyAnswer, ApplyRequest, ClientError, DrainAnswer, FleetStatus, HistoryAnswer,
    OperatorClient, OperatorError, OperatorListener, OperatorService, RevisionAnswer,
    RollbackRequest,
};

use support::build_fleet;

const TOKEN: &str = "operators' token";

/// A router with revision 4 in force; counts applies and drains.
#[derive(Default)]
struct FakeRouter {
    applies: AtomicUsize,
    drains: AtomicUsize,
}

impl OperatorService for FakeRouter {
    fn status(&self) -> FleetStatus {
        FleetStatus { router: "vm-1".to_owned(), revision: Some(4), ..FleetStatus::default() }
    }

    fn declarations(&self) -> Result<RevisionAnswer, OperatorError> {
        Ok(RevisionAnswer { revision: 4, digest: "d".to_owned(), declarations: build_fleet(3) })
    }

    fn history(&self) -> Result<HistoryAnswer, OperatorError> {
        Err(OperatorError::Unavailable)
    }

    fn apply(&self, request: ApplyRequest) -> Result<ApplyAnswer, OperatorError> {
        self.applies.fetch_add(1, Ordering::SeqCst);
        if request.base != Some(4) {
            let changed = vec!["teams.team-00001".to_owned()];
            return Err(OperatorError::Conflict { revision: 4, changed });
        }
        Ok(ApplyAnswer { revision: 5, digest: request.apply_id, unchanged: false })
    }

    fn rollback(&self, request: RollbackRequest) -> Result<ApplyAnswer, OperatorError> {
        Err(OperatorError::NotFound(request.revision))
    }

    fn drain(&self) -> Result<DrainAnswer, OperatorError> {
        self.drains.fetch_add(1, Ordering::SeqCst);
        Ok(DrainAnswer { open: 2 })
    }

    fn metrics(&self) -> String {
        "catkin_open 2\n".to_owned()
    }

    fn is_ready(&self) -> bool {
        false
    }
}

fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_listener(router: &Arc<FakeRouter>) -> OperatorListener {
    let digest = digest_hex(TOKEN.as_bytes());
    OperatorListener::start(loopback_address(), router, &digest).expect("loopback can be bound")
}

fn build_client(listener: &OperatorListener, token: &str) -> OperatorClient {
    OperatorClient::new(vec![listener.address()], token.to_owned())
}

fn apply_request(base: u64) -> ApplyRequest {
    ApplyRequest {
        declarations: build_fleet(3),
        base: Some(base),
        apply_id: "apply-1".to_owned(),
        author: "tester".to_owned(),
        comment: String::new(),
    }
}

fn send_status(request: minreq::Request) -> u16 {
    request.with_timeout(10).send().expect("the listener answers").status_code
}

#[test]
fn operators_read_status_apply_and_drain() {
    let listener = start_listener(&Arc::default());
    let client = build_client(&listener, TOKEN);

    let status = client.status().expect("answered");
    let in_force = client.declarations().expect("answered");
    let applied = client.apply(&apply_request(4)).expect("accepted");
    let drained = client.drain(listener.address()).expect("accepted");

    assert_eq!((status.router.as_str(), status.revision), ("vm-1", Some(4)));
    assert_eq!(in_force.declarations, build_fleet(3));
    assert_eq!((applied.revision, applied.digest.as_str()), (5, "apply-1"));
    assert_eq!(drained.open, 2);
    listener.stop();
}

#[test]
fn refusals_carry_reason_revision_and_paths() {
    let listener = start_listener(&Arc::default());
    let client = build_client(&listener, TOKEN);

    let conflict = client.apply(&apply_request(3)).expect_err("the base is old");
    let outage = client.history().expect_err("the platform is down");

    assert!(conflict.is_conflict());
    let ClientError::Refused { revision, paths, .. } = conflict else { panic!("{conflict}") };
    assert_eq!((revision, paths), (Some(4), vec!["teams.team-00001".to_owned()]));
    assert!(matches!(outage, ClientError::Refused { status: 503, .. }));
}

#[test]
fn requests_without_the_token_are_refused() {
    let router = Arc::default();
    let listener = start_listener(&router);
    let base = format!("http://{}", listener.address());

    let wrong = build_client(&listener, "guess").apply(&apply_request(4));
    let none = send_status(minreq::post(format!("{base}/drain")));
    let metrics = send_status(minreq::get(format!("{base}/metrics")));
    let health = send_status(minreq::get(format!("{base}/healthz")));

    assert!(matches!(wrong, Err(ClientError::Refused { status: 401, .. })));
    assert_eq!((none, metrics, health), (401, 200, 503));
    assert_eq!(router.applies.load(Ordering::SeqCst), 0);
    assert_eq!(router.drains.load(Ordering::SeqCst), 0);
}

#[test]
fn malformed_requests_are_refused() {
    let listener = start_listener(&Arc::default());
    let base = format!("http://{}", listener.address());
    let with_token =
        |request: minreq::Request| request.with_header("Authorization", format!("Bearer {TOKEN}"));

    let malformed = send_status(with_token(minreq::post(format!("{base}/apply"))).with_body("{"));
    let unknown = send_status(with_token(minreq::get(format!("{base}/nothing"))));
    let long = send_status(with_token(minreq::get(format!("{base}/{}", "x".repeat(300)))));
    let method = send_status(with_token(minreq::get(format!("{base}/drain"))));

    assert_eq!((malformed, unknown, long, method), (400, 404, 414, 404));
}

#[test]
fn client_tries_the_next_router_if_one_is_unreachable() {
    let listener = start_listener(&Arc::default());
    let closed = start_listener(&Arc::default());
    let closed_address = closed.address();
    closed.stop();
    let routers = vec![closed_address, listener.address()];

    let status = OperatorClient::new(routers, TOKEN.to_owned()).status();

    assert_eq!(status.expect("the second answers").router, "vm-1");
}

#[test]
fn stop_joins_every_worker_thread() {
    let router = Arc::default();
    let listener = start_listener(&router);
    let count = Arc::strong_count(&router);

    listener.stop();

    assert!(count > 1);
    assert_eq!(Arc::strong_count(&router), 1);
}
