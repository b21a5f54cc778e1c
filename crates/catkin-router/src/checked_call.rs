//! A caller's call once its team, class and target have been checked.

use bytes::Bytes;
use catkin_backend::is_control_path;
use catkin_base::{
    CallRefusal, ChatId, ClassId, ClockTime, PoolId, RefusalReason, RequestDigest, RequestId,
    ServerId, TeamId, digest_hex, hash_parts,
};
use catkin_caller::{CallRequest, CallTarget};
use catkin_settings::{ClassRule, TeamRule};

use crate::fleet_index::{CHAT_PATH, FleetIndex, TeamEntry, model_pool, service_pool};
use crate::hint::HintKey;

/// Bytes of a request body taken as one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// A call whose team, class and target have been checked.
#[derive(Debug, Clone)]
pub(crate) struct CheckedCall {
    pub(crate) request: RequestId,
    pub(crate) team: TeamId,
    pub(crate) team_name: String,
    pub(crate) class: ClassId,
    pub(crate) class_name: String,
    pub(crate) priority: u32,
    pub(crate) deadline: ClockTime,
    pub(crate) chat: ChatId,
    /// Whether the caller named the chat, so that its prefix may be cached somewhere.
    pub(crate) returning: bool,
    pub(crate) pool: PoolId,
    pub(crate) path: String,
    pub(crate) streamed: bool,
    pub(crate) service: Option<ServiceCall>,
    pub(crate) hint: Option<ServerId>,
    pub(crate) digest: RequestDigest,
    pub(crate) body: Bytes,
}

/// What is particular to a call of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    pub(crate) name: String,
    pub(crate) idempotent: bool,
    pub(crate) look_up_path: Option<String>,
    pub(crate) key: Option<String>,
    /// The key as servers see it.
    pub(crate) server_key: Option<String>,
}

/// The idempotency key that a plain service sees: teams choose their keys freely, and two teams
/// that choose the same one must not meet in the service's records.
pub fn build_service_key(team: TeamId, key: &str) -> String {
    format!("{team}-{key}")
}

/// Where a call goes.
struct CallRoute {
    pool: PoolId,
    path: String,
    streamed: bool,
    service: Option<ServiceCall>,
}

impl CheckedCall {
    /// Checks a call against the declarations in force.
    pub(crate) fn check(
        index: &FleetIndex,
        hints: &HintKey,
        request: CallRequest,
        now: ClockTime,
    ) -> Result<Self, CallRefusal> {
        let (team, team_rule) = find_team(index, &request.token)?;
        let (class_name, class) = find_class(index, team_rule, request.class.as_deref())?;
        let route = find_route(index, team.team, &request)?;
        let millis = request.deadline_millis.unwrap_or(class.deadline_millis);
        let chat_name = request.chat.as_deref();
        Ok(Self {
            request: request.request,
            team: team.team,
            team_name: team.name.clone(),
            class: ClassId::from_name(class_name),
            class_name: class_name.to_owned(),
            priority: class.priority,
            deadline: now.plus_millis(millis),
            chat: find_chat(team.team, chat_name, request.request),
            returning: chat_name.is_some() && route.service.is_none(),
            pool: route.pool,
            streamed: route.streamed,
            service: route.service,
            hint: request.hint.as_deref().and_then(|hint| hints.read(team.team, hint)),
            digest: digest_request(team.team, &route.path, &request.body),
            path: route.path,
            body: request.body,
        })
    }

    /// Whether the call may be sent to more than one server.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.service.as_ref().is_none_or(|service| service.idempotent)
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        (self.body.len() / BYTES_PER_TOKEN) as u32
    }
}

fn digest_request(team: TeamId, path: &str, body: &[u8]) -> RequestDigest {
    RequestDigest(hash_parts(&[&team.0.to_le_bytes(), path.as_bytes(), body]))
}

fn find_team<'a>(
    index: &'a FleetIndex,
    token: &str,
) -> Result<(&'a TeamEntry, &'a TeamRule), CallRefusal> {
    let digest = digest_hex(token.as_bytes());
    index.team_of_digest(&digest).ok_or_else(|| {
        CallRefusal::not_run(RefusalReason::Unauthorized, "The token is not that of a team.")
    })
}

fn find_class<'a>(
    index: &'a FleetIndex,
    team: &TeamRule,
    name: Option<&str>,
) -> Result<(&'a str, &'a ClassRule), CallRefusal> {
    let Some((name, class)) = index.class(name) else {
        return Err(CallRefusal::not_run(RefusalReason::NotFound, "The class is not declared."));
    };
    let allowed = team.classes.is_empty() || team.classes.iter().any(|class| class == name);
    if !allowed {
        let detail = format!("The team may not use class {name}.");
        return Err(CallRefusal::not_run(RefusalReason::Forbidden, detail));
    }
    Ok((name, class))
}

fn find_route(
    index: &FleetIndex,
    team: TeamId,
    request: &CallRequest,
) -> Result<CallRoute, CallRefusal> {
    match &request.target {
        CallTarget::Chat { model, streamed } => find_model(index, model, *streamed),
        CallTarget::Service { service, path } => {
            find_service(index, team, service, path, request.idempotency_key.as_deref())
        }
    }
}

fn find_model(index: &FleetIndex, model: &str, streamed: bool) -> Result<CallRoute, CallRefusal> {
    if !index.has_model(model) {
        let detail = "The model is not declared.";
        return Err(CallRefusal::not_run(RefusalReason::NotFound, detail));
    }
    Ok(CallRoute { pool: model_pool(model), path: CHAT_PATH.to_owned(), streamed, service: None })
}

fn find_service(
    index: &FleetIndex,
    team: TeamId,
    name: &str,
    path: &str,
    key: Option<&str>,
) -> Result<CallRoute, CallRefusal> {
    let Some(rule) = index.service(name) else {
        let detail = "The service is not declared.";
        return Err(CallRefusal::not_run(RefusalReason::NotFound, detail));
    };
    if is_control_path(path) {
        let detail = "The path is not open to callers.";
        return Err(CallRefusal::not_run(RefusalReason::Forbidden, detail));
    }
    if !rule.idempotent && key.is_none() {
        let detail = "This service may not repeat calls: an idempotency-key header is needed.";
        return Err(CallRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    let service = ServiceCall {
        name: name.to_owned(),
        idempotent: rule.idempotent,
        look_up_path: rule.look_up_path.clone(),
        key: key.map(str::to_owned),
        server_key: key.map(|key| build_service_key(team, key)),
    };
    Ok(CallRoute {
        pool: service_pool(name),
        path: path.to_owned(),
        streamed: false,
        service: Some(service),
    })
}

fn find_chat(team: TeamId, name: Option<&str>, request: RequestId) -> ChatId {
    match name {
        Some(name) => ChatId::from_names(team, name),
        None => ChatId(request.0),
    }
}
