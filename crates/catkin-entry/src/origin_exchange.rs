//! Exchanges with other routers at which software versions streams began.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::VmId;
use catkin_peer::MessageSource;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    EntryReport, OriginWriter, ServiceVersion, StreamOrigin, StreamOriginAsk, StreamOrigins,
};
use tokio::time::{Instant, sleep};

use crate::origin_book::{
    ServiceVersions, SoftwareKey, StreamKey, choose_asked_keepers, choose_keepers, tells_joining,
};
use crate::origin_plan::{WriterCandidate, WriterStanding};
use crate::origin_store::choose_writer;
use crate::peer_service::PeerService;
use crate::relay_plan::{FleetMember, MAX_SMALL_FLEET};
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Maximum number of stream origins in one message, so that it fits a datagram.
const MAX_ORIGINS: usize = 48;
/// Maximum number of stream origins that one router tells to one that joins.
const MAX_JOIN_ORIGINS: usize = 20_000;
/// Minimum interval of telling the same process, which may announce itself several times.
const ORIGINS_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which other routers are asked for the origin of a stream.
const ORIGIN_ASK_INTERVAL: Duration = Duration::from_millis(30);

impl PeerService {
    /// Tells other routers at which software versions streams began.
    pub(crate) fn send_origins<W: EntryWire>(&self, state: &EntryState<W>) {
        let unsent = state.origins.borrow_mut().unsent_origins();
        if unsent.is_empty() {
            return;
        }
        let routers = self.list_live_routers(state);
        let writer = choose_writer(state, self).filter(|writer| *writer != state.local_vm);
        let mut by_router: BTreeMap<VmId, Vec<StreamOrigin>> = BTreeMap::new();
        for (key, software) in unsent {
            let keepers = choose_keepers(key, &routers);
            let writer = writer.filter(|writer| !keepers.contains(writer));
            for vm in keepers.into_iter().chain(writer) {
                by_router.entry(vm).or_default().push(encode_origin((key, software)));
            }
        }
        for (vm, origins) in by_router {
            for batch in origins.chunks(MAX_ORIGINS) {
                self.send_stream_origins(vm, batch.to_vec());
            }
        }
    }

    /// Asks other routers for the origins of streams that are resumed here, as long as they are
    /// wanted.
    pub(crate) async fn query_origins<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        loop {
            let wanted = state.asked_origins_change.notified();
            if state.asked_origins.borrow().is_empty() {
                wanted.await;
            }
            let routers = self.list_live_routers(state);
            for key in state.asked_origins.borrow().iter() {
                for vm in choose_asked_keepers(*key, &routers) {
                    let ask = StreamOriginAsk { streams: vec![key.0] };
                    self.send_kind(vm, Kind::StreamOriginAsk(ask));
                }
            }
            sleep(ORIGIN_ASK_INTERVAL).await;
        }
    }

    pub(crate) fn answer_origin_ask<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        ask: &StreamOriginAsk,
    ) {
        let book = state.origins.borrow();
        let found = ask.streams.iter().filter_map(|stream| {
            let key = StreamKey(*stream);
            Some(encode_origin((key, book.find(key)?)))
        });
        let origins: Vec<StreamOrigin> = found.collect();
        if !origins.is_empty() {
            self.send_stream_origins(source.vm, origins);
        }
    }

    fn send_stream_origins(&self, vm: VmId, origins: Vec<StreamOrigin>) {
        let message = StreamOrigins { origins, versions: Vec::new() };
        self.send_kind(vm, Kind::StreamOrigins(message));
    }

    /// Tells a router that joins, or that was silent, which versions the services had lately and, while some
    /// service has several, where streams began. Routers of other domains of a large fleet tell no versions.
    pub(crate) fn tell_joining<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        is_remote: bool,
    ) {
        let told = self.origins_told.borrow().get(&source.vm).copied();
        let is_told = |(incarnation, at): (u64, Instant)| {
            incarnation == source.incarnation && at.elapsed() < ORIGINS_RESEND_INTERVAL
        };
        if told.is_some_and(is_told) {
            return;
        }
        let mut others = self.list_live_routers(state);
        others.retain(|vm| *vm != source.vm);
        others.push(state.local_vm);
        let book = state.origins.borrow();
        let mut origins = book.latest_origins();
        origins.retain(|(key, _)| tells_joining(*key, state.local_vm, source.vm, &others));
        origins.truncate(MAX_JOIN_ORIGINS);
        // What a router may lack is not told as if it were all.
        let is_complete = !is_remote
            && state.writer_standing() >= Some(WriterStanding::Stopping)
            && !state.is_list_doubtful();
        let versions = if is_complete { encode_versions(&book.version_sets()) } else { Vec::new() };
        if origins.is_empty() && versions.is_empty() {
            return;
        }
        self.origins_told.borrow_mut().insert(source.vm, (source.incarnation, Instant::now()));
        log::debug!(
            "origins: told to a router that joins. vm={} streams={} versions={}",
            source.vm,
            origins.len(),
            versions.len()
        );
        let origins = origins.into_iter().map(encode_origin).collect();
        // A message that doesn't fit a datagram is sent over TCP.
        self.send_kind(source.vm, Kind::StreamOrigins(StreamOrigins { origins, versions }));
    }

    /// The other routers that may write the origins of this router's group: all of a small fleet, or
    /// those of its failure domain.
    pub(crate) fn list_writer_candidates<W: EntryWire>(
        &self,
        state: &EntryState<W>,
    ) -> Vec<WriterCandidate> {
        let (_, others) = self.list_members(state);
        let is_large = others.len() >= MAX_SMALL_FLEET;
        let in_group = |member: &&FleetMember| {
            member.alive && (!is_large || member.domain == Some(state.local_domain))
        };
        let writers = others.iter().filter(in_group).filter_map(|member| {
            let standing = self.writer_standing(member.vm)?;
            Some(WriterCandidate { vm: member.vm, standing, strength: member.strength })
        });
        writers.collect()
    }

    /// The other routers that count as alive.
    fn list_live_routers<W: EntryWire>(&self, state: &EntryState<W>) -> Vec<VmId> {
        let (_, others) = self.list_members(state);
        others.iter().filter(|member| member.alive).map(|member| member.vm).collect()
    }
}

/// Encodes how well this router can write origins.
pub(crate) fn encode_standing(standing: Option<WriterStanding>) -> OriginWriter {
    match standing {
        None => OriginWriter::None,
        Some(WriterStanding::Refused) => OriginWriter::Refused,
        Some(WriterStanding::Incomplete) => OriginWriter::Incomplete,
        Some(WriterStanding::Stopping) => OriginWriter::Stopping,
        Some(WriterStanding::Able) => OriginWriter::Able,
    }
}

/// Reads how well the sender of a report can write origins; `None` if it can't.
pub(crate) fn decode_standing(report: &EntryReport) -> Option<WriterStanding> {
    match report.origin_writer() {
        OriginWriter::Refused => Some(WriterStanding::Refused),
        OriginWriter::Incomplete => Some(WriterStanding::Incomplete),
        OriginWriter::Stopping => Some(WriterStanding::Stopping),
        OriginWriter::Able => Some(WriterStanding::Able),
        OriginWriter::None => report.stores_origins.then_some(WriterStanding::Able),
    }
}

/// Records where a stream begins and tells it to other routers at once: this one may be killed at any moment.
pub(crate) fn record_new_stream<W: EntryWire>(
    state: &EntryState<W>,
    key: StreamKey,
    software: SoftwareKey,
) {
    state.origins.borrow_mut().record_stream(state.now(), key, software);
    if let Some(service) = state.peers.borrow().as_ref() {
        service.send_origins(state);
    }
}

fn encode_origin((key, software): (StreamKey, SoftwareKey)) -> StreamOrigin {
    StreamOrigin { stream: key.0, software: software.0 }
}

fn encode_versions(services: &ServiceVersions) -> Vec<ServiceVersion> {
    let rows = services.iter().flat_map(|(service, versions)| {
        versions.iter().map(|key| ServiceVersion { service: service.clone(), software: key.0 })
    });
    rows.collect()
}

fn decode_versions(rows: &[ServiceVersion]) -> ServiceVersions {
    let mut services = ServiceVersions::new();
    for row in rows {
        services.entry(row.service.clone()).or_default().insert(SoftwareKey(row.software));
    }
    services
}

/// Records origins, and to a router that joins versions, that another router reported.
pub(crate) fn record_origins<W: EntryWire>(state: &EntryState<W>, reported: &StreamOrigins) {
    let now = state.now();
    let mut book = state.origins.borrow_mut();
    for origin in &reported.origins {
        book.record_reported(now, StreamKey(origin.stream), SoftwareKey(origin.software));
    }
    if !reported.versions.is_empty() {
        book.record_told_versions(now, &decode_versions(&reported.versions));
    }
    drop(book);
    state.origins_change.notify_waiters();
}
