//! An older order never replaces a newer one. Orders arrive out of order when messages are
//! reordered, answers are lost, owners change or a paused holder resumes. The tests cover servers
//! that check fencing tokens and servers that ignore them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::{AttemptSpec, BackendError, BackendLink, HttpLink, ServerProbe};
use catkin_base::ServerId;
use catkin_control::{
    ControlLoop, ControlStep, DispatcherOptions, GateLimits, OrderDispatcher, OrderLimits,
    OrderNumber, OrderReply, OrderTransport, ServerOrder, ServerTarget, StateReport,
};
use catkin_platform::{
    HttpStore, HttpStoreOptions, LeaseCandidate, LeaseOptions, ObjectStore, WriteCondition,
};
use catkin_standin::{EngineOptions, EngineStandin, PlatformOptions, PlatformStandin};

type Dispatcher = OrderDispatcher<HttpLink>;

const SERVER: &str = "estimator-1";
/// Longer than any test takes, so that no result depends on elapsed time.
const LEASE_DURATION: Duration = Duration::from_secs(3600);

const LEASE_KEY: &str = "leases/ch";

fn start_engine(checks_fencing: bool) -> EngineStandin {
    let options = EngineOptions { checks_fencing, ..EngineOptions::default() };
    EngineStandin::start(options).expect("it starts")
}

fn start_platform() -> (PlatformStandin, Arc<HttpStore>) {
    let platform = PlatformStandin::start(&PlatformOptions::default()).expect("it starts");
    let store = Arc::new(HttpStore::new(HttpStoreOptions::new(platform.address(), 1)));
    (platform, store)
}

/// The dispatcher of an owner whose servers had no pending order when it became their owner.
fn dispatcher() -> Arc<Dispatcher> {
    let limits = GateLimits { quiet_period: Duration::ZERO, verify_window: LEASE_DURATION };
    let options = DispatcherOptions { limits, timeout: Duration::from_secs(60) };
    Arc::new(OrderDispatcher::new(Arc::new(HttpLink), options))
}

fn order(engine: &EngineStandin, checks_fencing: bool, term: u32, sequence: u32) -> ServerOrder {
    ServerOrder {
        server: ServerId::from_name(SERVER),
        address: engine.address(),
        checks_fencing,
        number: OrderNumber { term, sequence },
        generation: 1,
        desired: format!("state {term}.{sequence}"),
    }
}

fn target(engine: &EngineStandin, checks_fencing: bool, desired: &str) -> ServerTarget {
    ServerTarget {
        server: ServerId::from_name(SERVER),
        address: engine.address(),
        checks_fencing,
        desired: desired.to_owned(),
        models: vec!["estimator".to_owned()],
    }
}

fn report() -> StateReport {
    let models = vec!["estimator".to_owned()];
    StateReport {
        server: ServerId::from_name(SERVER),
        incarnation: 1,
        models,
        fence: 0,
        undone: false,
    }
}

fn router(
    store: &Arc<HttpStore>,
    dispatcher: &Arc<Dispatcher>,
    incarnation: u64,
) -> ControlLoop<HttpStore, Dispatcher> {
    let options = LeaseOptions {
        duration: LEASE_DURATION,
        renew_every: LEASE_DURATION,
        ..LeaseOptions::for_region("ch", &format!("vm-{incarnation}"), incarnation)
    };
    let lease = Arc::new(LeaseCandidate::new(Arc::clone(store), options));
    ControlLoop::new(lease, Arc::clone(dispatcher), OrderLimits::default())
}

/// Marks the lease as released without its holder, as if it had expired while the holder was
/// paused.
async fn release_lease(store: &HttpStore) {
    let object = store.get(LEASE_KEY).await.expect("read").expect("present");
    let text = String::from_utf8(object.value).expect("text");
    let freed = text.replace("\"released\":false", "\"released\":true");
    let condition = WriteCondition::Version(object.version);
    store.put(LEASE_KEY, freed.as_bytes(), condition).await.expect("written");
}

fn last_desired(engine: &EngineStandin) -> Option<String> {
    engine.accepted_orders().last().map(|order| order.desired.clone())
}

#[tokio::test]
async fn newest_order_stays_in_force_after_reordering() {
    for checks_fencing in [true, false] {
        let engine = start_engine(checks_fencing);
        let dispatcher = dispatcher();

        let newer = dispatcher.deliver(&order(&engine, checks_fencing, 1, 2)).await;
        let older = dispatcher.deliver(&order(&engine, checks_fencing, 1, 1)).await;

        assert_eq!(newer, OrderReply::Accepted);
        assert!(matches!(older, OrderReply::Older(_)), "checks: {checks_fencing}");
        assert_eq!(last_desired(&engine).as_deref(), Some("state 1.2"));
        assert_eq!(engine.counts().undone_orders, 0);
    }
}

#[tokio::test]
async fn repeated_order_has_no_effect() {
    for checks_fencing in [true, false] {
        let engine = start_engine(checks_fencing);
        let dispatcher = dispatcher();
        let order = order(&engine, checks_fencing, 1, 1);

        let first = dispatcher.deliver(&order).await;
        let again = dispatcher.deliver(&order).await;

        assert_eq!((first, again), (OrderReply::Accepted, OrderReply::Accepted));
        assert_eq!(last_desired(&engine).as_deref(), Some("state 1.1"));
        assert_eq!(engine.counts().undone_orders, 0);
    }
}

#[tokio::test]
async fn lost_answer_is_distinguished_from_a_refusal() {
    for checks_fencing in [true, false] {
        let engine = start_engine(checks_fencing);
        let dispatcher = dispatcher();
        engine.lose_next_order_answers(1);

        let lost = dispatcher.deliver(&order(&engine, checks_fencing, 1, 1)).await;
        let next = dispatcher.deliver(&order(&engine, checks_fencing, 1, 2)).await;

        assert_eq!((lost, next), (OrderReply::Unanswered, OrderReply::Accepted));
        assert_eq!(engine.counts().undone_orders, 0);
    }
}

#[tokio::test]
async fn order_of_a_new_owner_is_held_for_a_server_that_ignores_fencing_tokens() {
    let engine = start_engine(false);
    let limits = GateLimits { quiet_period: Duration::from_secs(3600), ..GateLimits::default() };
    let options = DispatcherOptions { limits, ..DispatcherOptions::default() };
    let dispatcher = OrderDispatcher::new(Arc::new(HttpLink), options);

    let new_owner = dispatcher.deliver(&order(&engine, false, 1, 1)).await;

    assert_eq!(new_owner, OrderReply::Held);
    assert!(engine.accepted_orders().is_empty());
}

#[tokio::test]
async fn older_order_of_a_former_owner_is_refused() {
    for checks_fencing in [true, false] {
        let engine = start_engine(checks_fencing);
        let (one_owner, other_owner) = (dispatcher(), dispatcher());
        one_owner.deliver(&order(&engine, checks_fencing, 1, 1)).await;

        let newer = other_owner.deliver(&order(&engine, checks_fencing, 2, 1)).await;
        let older = one_owner.deliver(&order(&engine, checks_fencing, 1, 2)).await;

        assert_eq!(newer, OrderReply::Accepted);
        assert!(matches!(older, OrderReply::Older(_)), "checks: {checks_fencing}");
        assert_eq!(last_desired(&engine).as_deref(), Some("state 2.1"));
        assert_eq!(engine.counts().undone_orders, 0);
    }
}

/// On a server that ignores fencing tokens, a newer order of another owner may take effect between
/// a read-back and the send that relies on it. The owner detects this by the answer and reports it.
#[tokio::test]
async fn older_order_that_took_effect_after_a_newer_one_is_reported() {
    let engine = start_engine(false);
    let one_owner = dispatcher();
    let racing = RacingLink { order: order(&engine, false, 2, 1), inner: HttpLink };
    let limits = GateLimits { quiet_period: Duration::ZERO, verify_window: LEASE_DURATION };
    let options = DispatcherOptions { limits, timeout: Duration::from_secs(60) };
    let other_owner = OrderDispatcher::new(Arc::new(racing), options);

    let overtaken = other_owner.deliver(&order(&engine, false, 1, 1)).await;
    let overwritten = other_owner.take_overwritten_servers();
    let repaired = one_owner.deliver(&order(&engine, false, 2, 2)).await;

    assert!(matches!(overtaken, OrderReply::Older(_)));
    assert!(overwritten.contains(&ServerId::from_name(SERVER)));
    assert_eq!(repaired, OrderReply::Accepted);
    assert_eq!(last_desired(&engine).as_deref(), Some("state 2.2"));
}

/// A link that delivers another owner's order immediately before each order.
struct RacingLink {
    order: ServerOrder,
    inner: HttpLink,
}

impl BackendLink for RacingLink {
    type Stream = <HttpLink as BackendLink>::Stream;

    async fn send(&self, spec: &AttemptSpec) -> Result<Self::Stream, BackendError> {
        self.inner.send(spec).await
    }

    async fn probe(
        &self,
        address: SocketAddr,
        after_event: u64,
        timeout: Duration,
    ) -> Result<ServerProbe, BackendError> {
        self.inner.probe(address, after_event, timeout).await
    }

    async fn look_up(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Bytes>, BackendError> {
        self.inner.look_up(address, path, key, timeout).await
    }

    async fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        generation: u64,
        desired: &str,
        timeout: Duration,
    ) -> Result<u64, BackendError> {
        let racing = &self.order;
        let number = racing.number.fence();
        self.inner.order(address, number, racing.generation, &racing.desired, timeout).await?;
        self.inner.order(address, fence, generation, desired, timeout).await
    }
}

#[tokio::test]
async fn resumed_holder_does_not_overwrite_orders_of_its_successor() {
    for checks_fencing in [true, false] {
        let engine = start_engine(checks_fencing);
        let (_platform, store) = start_platform();
        let dispatcher = dispatcher();
        let (mut old, mut new) = (router(&store, &dispatcher, 1), router(&store, &dispatcher, 2));
        old.set_targets(1, vec![target(&engine, checks_fencing, "old")]);
        new.set_targets(2, vec![target(&engine, checks_fencing, "new")]);
        let first = old.step().await;
        release_lease(&store).await;
        new.record_report(&report());
        let took_over = new.step().await;

        old.record_report(&report());
        let resumed = old.step().await;
        let after = old.step().await;

        assert_eq!((first, took_over), (ControlStep::Delivered(0), ControlStep::Delivered(1)));
        assert_eq!((resumed, after), (ControlStep::Superseded, ControlStep::Delivered(0)));
        assert_eq!(last_desired(&engine).as_deref(), Some("new"));
        assert_eq!(engine.counts().undone_orders, 0);
    }
}

#[tokio::test]
async fn router_without_the_lease_sends_no_orders() {
    let engine = start_engine(true);
    let (_platform, store) = start_platform();
    let dispatcher = dispatcher();
    let (mut holder, mut other) = (router(&store, &dispatcher, 1), router(&store, &dispatcher, 2));
    for router in [&mut holder, &mut other] {
        router.set_targets(1, vec![target(&engine, true, "state")]);
        router.record_report(&report());
    }

    let held = holder.step().await;
    let waiting = other.step().await;

    assert_eq!((held, waiting), (ControlStep::Delivered(1), ControlStep::NotHolder));
    assert_eq!(engine.accepted_orders().len(), 1);
}
