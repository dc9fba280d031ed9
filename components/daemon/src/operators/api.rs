//! Routes of the operators' interface.

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use model::{
    FieldFault, OperationId, OperatorKeyScope, RecordKey, RevisionNumber, VersionedRecord,
    parse_record,
};
use records::{
    OperatorIdentity, WriteRequest, WriteVerb, hash_key, history_prefix, may_read, may_write,
};

use crate::control::control_cpu_seconds;
use crate::operators::accept::OperatorApi;
use crate::operators::replies::{Reply, json_reply, not_found, problem, text_reply, write_reply};

/// Largest request body in bytes; a record has at most 64 KiB.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Answers one request.
pub(crate) async fn answer(api: &OperatorApi, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/livez") => return text_reply(StatusCode::OK, "live\n".into()),
        (Method::GET, "/readyz") => return readiness(api),
        (Method::GET, "/metrics") => return metrics(api),
        _ => {}
    }
    let Some(operator) = identify(api, &request) else {
        return problem(StatusCode::UNAUTHORIZED, "unauthorized", "a valid operator key is needed");
    };
    match (request.method().clone(), path.strip_prefix("/v1/")) {
        (Method::GET, Some("status")) => status(api),
        (Method::GET, Some("records")) => list(api, &operator),
        (Method::POST, Some("records")) => write(api, &operator, request).await,
        (Method::GET, Some(rest)) => match rest.split_once('/') {
            Some(("records", key)) => show(api, &operator, key),
            Some(("history", key)) => history(api, &operator, key).await,
            Some(("operations", operation)) => find_operation(api, &operator, operation).await,
            _ => not_found(),
        },
        _ => not_found(),
    }
}

fn identify(api: &OperatorApi, request: &Request<Incoming>) -> Option<OperatorIdentity> {
    let key = request.headers().get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")?;
    if is_first_key(api, key) {
        let account = "fleet".parse().expect("the fleet account's name is valid");
        return Some(OperatorIdentity { account, scope: OperatorKeyScope::Fleet });
    }
    api.board.config().routing.find_operator(key)
}

fn is_first_key(api: &OperatorApi, key: &str) -> bool {
    records::same_hash(&hash_key(key), &api.first_key_sha256)
}

fn readiness(api: &OperatorApi) -> Reply {
    let is_ready = api.board.is_ready(Instant::now());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    text_reply(status, format!("{}\n", if is_ready { "ready" } else { "not ready" }))
}

fn metrics(api: &OperatorApi) -> Reply {
    // This runs on the control thread, so its processor time is up to date in every answer.
    if let Some(seconds) = control_cpu_seconds() {
        api.metrics.control_cpu_seconds.set(seconds);
    }
    let platform_bytes = api.table.bytes() + api.list.bytes();
    api.metrics.platform_bytes.set(platform_bytes as i64);
    text_reply(StatusCode::OK, api.metrics.render())
}

fn status(api: &OperatorApi) -> Reply {
    let fleet = api.board.fleet();
    let members: Vec<Value> = fleet
        .members
        .iter()
        .map(|member| {
            json!({
                "vm": member.row.vm,
                "slot": member.slot,
                "zone": member.row.zone,
                "peers": member.row.peer_address,
            })
        })
        .collect();
    let body = json!({
        "vm": api.vm,
        "revision": api.board.revision(),
        "ready": api.board.is_ready(Instant::now()),
        "slot": fleet.held.map(|held| held.slot),
        "members": members,
    });
    json_reply(StatusCode::OK, &body)
}

fn list(api: &OperatorApi, operator: &OperatorIdentity) -> Reply {
    let config = api.board.config();
    let records: Vec<Value> = config
        .snapshot
        .records()
        .filter(|stored| may_read(operator, &stored.record.key.account))
        .map(|stored| json!({ "key": stored.record.key.to_string(), "revision": stored.revision }))
        .collect();
    json_reply(
        StatusCode::OK,
        &json!({ "revision": config.snapshot.revision(), "records": records }),
    )
}

fn show(api: &OperatorApi, operator: &OperatorIdentity, key: &str) -> Reply {
    let Some(key) = visible_key(operator, key) else {
        return not_found();
    };
    match api.board.config().snapshot.find(&key) {
        Some(stored) => json_reply(StatusCode::OK, &json!(stored)),
        None => not_found(),
    }
}

async fn history(api: &OperatorApi, operator: &OperatorIdentity, key: &str) -> Reply {
    let Some(key) = visible_key(operator, key) else {
        return not_found();
    };
    api.metrics.table_reads.inc();
    match api.table.scan_all(&history_prefix(&key)).await {
        Ok(rows) if rows.is_empty() => not_found(),
        Ok(rows) => {
            let changes: Vec<&Value> = rows.iter().map(|row| &row.value).collect();
            json_reply(StatusCode::OK, &json!({ "key": key.to_string(), "changes": changes }))
        }
        Err(error) => problem(StatusCode::SERVICE_UNAVAILABLE, "table-down", &error.to_string()),
    }
}

async fn find_operation(api: &OperatorApi, operator: &OperatorIdentity, operation: &str) -> Reply {
    let Ok(operation) = operation.parse::<OperationId>() else {
        return not_found();
    };
    match api.find_operation(&operator.account, &operation).await {
        Ok(Some(row)) => json_reply(
            StatusCode::OK,
            &json!({
                "outcome": "accepted",
                "revision": row.revision,
                "record": row.key.to_string(),
            }),
        ),
        Ok(None) => problem(StatusCode::NOT_FOUND, "not-found", "no such operation was accepted"),
        Err(error) => problem(StatusCode::SERVICE_UNAVAILABLE, "table-down", &error.to_string()),
    }
}

async fn write(
    api: &OperatorApi,
    operator: &OperatorIdentity,
    request: Request<Incoming>,
) -> Reply {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let Ok(body) = body else {
        return problem(
            StatusCode::PAYLOAD_TOO_LARGE,
            "invalid",
            "body is larger than 262144 bytes",
        );
    };
    let message: Value = match serde_json::from_slice(&body.to_bytes()) {
        Ok(message) => message,
        Err(error) => {
            return problem(StatusCode::BAD_REQUEST, "invalid", &format!("not JSON: {error}"));
        }
    };
    let request = match read_write(&message) {
        Ok(request) => request,
        Err(faults) => {
            let body = json!({ "outcome": "invalid", "faults": faults });
            return json_reply(StatusCode::UNPROCESSABLE_ENTITY, &body);
        }
    };
    if !may_read(operator, &request.key.account) {
        return not_found();
    }
    if !may_write(operator, &request.key) {
        return problem(
            StatusCode::FORBIDDEN,
            "forbidden",
            "this key may not write records of this kind",
        );
    }
    write_reply(&api.write(&request, &operator.account).await)
}

fn visible_key(operator: &OperatorIdentity, text: &str) -> Option<RecordKey> {
    let key: RecordKey = text.parse().ok()?;
    may_read(operator, &key.account).then_some(key)
}

/// Reads a write and reports every fault of its shape.
fn read_write(message: &Value) -> Result<WriteRequest, Vec<FieldFault>> {
    let fault = |path: &str, problem: &str| vec![FieldFault::new(path, problem)];
    let verb: WriteVerb = serde_json::from_value(message["verb"].clone())
        .map_err(|_| fault("$.verb", "must be put, replace or retire"))?;
    let operation = match message.get("operation").and_then(Value::as_str) {
        Some(text) => text.parse().map_err(|error| fault("$.operation", &format!("{error}")))?,
        None => OperationId::random(),
    };
    let base = match message.get("base") {
        None | Some(Value::Null) => None,
        Some(base) => {
            let number = base.as_u64();
            Some(RevisionNumber(
                number.ok_or_else(|| fault("$.base", "must be a revision number"))?,
            ))
        }
    };
    let (key, record) = read_target(verb, message)?;
    Ok(WriteRequest { operation, verb, key, base, record })
}

fn read_target(
    verb: WriteVerb,
    message: &Value,
) -> Result<(RecordKey, Option<VersionedRecord>), Vec<FieldFault>> {
    if verb == WriteVerb::Retire {
        let text = message["key"].as_str().unwrap_or_default();
        let key = text.parse().map_err(|fault| vec![fault])?;
        return Ok((key, None));
    }
    let record = parse_record(&message["record"])?;
    Ok((record.key.clone(), Some(record)))
}
