//! Routes and request handlers of the operators' interface.

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use model::{
    FieldFault, OperationId, OperatorKeyScope, RecordKey, RevisionNumber, VersionedRecord,
    hashes_match, parse_record,
};
use records::{
    OperatorIdentity, WriteRequest, WriteVerb, hash_key, history_prefix, may_read, may_write,
};

use crate::control::thread_cpu_seconds;
use crate::operators::operator_api::OperatorApi;
use crate::operators::responses::{
    ApiResponse, error_response, json_response, not_found_response, text_response, write_response,
};

/// Maximum size of a request body in bytes; a record has at most 64 KiB.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Routes one request and returns its response.
pub(crate) async fn handle_request(api: &OperatorApi, request: Request<Incoming>) -> ApiResponse {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/livez") => return text_response(StatusCode::OK, "live\n".into()),
        (Method::GET, "/readyz") => return readiness_response(api),
        (Method::GET, "/metrics") => return metrics_response(api),
        _ => {}
    }
    let Some(operator) = authenticate(api, &request) else {
        return error_response(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "a valid operator key is needed",
        );
    };
    match (request.method().clone(), path.strip_prefix("/v1/")) {
        (Method::GET, Some("status")) => status_response(api),
        (Method::GET, Some("records")) => list_records(api, &operator),
        (Method::POST, Some("records")) => write_record(api, &operator, request).await,
        (Method::GET, Some(rest)) => match rest.split_once('/') {
            Some(("records", key)) => show_record(api, &operator, key),
            Some(("history", key)) => show_history(api, &operator, key).await,
            Some(("operations", operation)) => show_operation(api, &operator, operation).await,
            _ => not_found_response(),
        },
        _ => not_found_response(),
    }
}

fn authenticate(api: &OperatorApi, request: &Request<Incoming>) -> Option<OperatorIdentity> {
    let key = request.headers().get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")?;
    if is_first_key(api, key) {
        let account = "fleet".parse().expect("the fleet account's name is valid");
        return Some(OperatorIdentity { account, scope: OperatorKeyScope::Fleet });
    }
    api.board.config().routing.find_operator(key)
}

fn is_first_key(api: &OperatorApi, key: &str) -> bool {
    hashes_match(hash_key(key).as_bytes(), api.first_key_sha256.as_bytes())
}

fn readiness_response(api: &OperatorApi) -> ApiResponse {
    let is_ready = api.board.is_ready(Instant::now());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    text_response(status, format!("{}\n", if is_ready { "ready" } else { "not ready" }))
}

fn metrics_response(api: &OperatorApi) -> ApiResponse {
    // Handlers run on the control thread, so this is its CPU time, current in every response.
    if let Some(seconds) = thread_cpu_seconds() {
        api.metrics.control_cpu_seconds.set(seconds);
    }
    let platform_bytes = api.table.transferred_bytes() + api.list.transferred_bytes();
    api.metrics.platform_bytes.set(platform_bytes as i64);
    text_response(StatusCode::OK, api.metrics.render())
}

fn status_response(api: &OperatorApi) -> ApiResponse {
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
        "slot": fleet.held_slot.map(|held| held.slot),
        "members": members,
    });
    json_response(StatusCode::OK, &body)
}

fn list_records(api: &OperatorApi, operator: &OperatorIdentity) -> ApiResponse {
    let config = api.board.config();
    let records: Vec<Value> = config
        .snapshot
        .records()
        .filter(|stored| may_read(operator, &stored.record.key.account))
        .map(|stored| json!({ "key": stored.record.key.to_string(), "revision": stored.revision }))
        .collect();
    json_response(
        StatusCode::OK,
        &json!({ "revision": config.snapshot.revision(), "records": records }),
    )
}

fn show_record(api: &OperatorApi, operator: &OperatorIdentity, key: &str) -> ApiResponse {
    let Some(key) = parse_visible_key(operator, key) else {
        return not_found_response();
    };
    match api.board.config().snapshot.find_record(&key) {
        Some(stored) => json_response(StatusCode::OK, &json!(stored)),
        None => not_found_response(),
    }
}

async fn show_history(api: &OperatorApi, operator: &OperatorIdentity, key: &str) -> ApiResponse {
    let Some(key) = parse_visible_key(operator, key) else {
        return not_found_response();
    };
    api.metrics.table_reads.inc();
    match api.table.scan_all(&history_prefix(&key)).await {
        Ok(rows) if rows.is_empty() => not_found_response(),
        Ok(rows) => {
            let changes: Vec<&Value> = rows.iter().map(|row| &row.value).collect();
            json_response(StatusCode::OK, &json!({ "key": key.to_string(), "changes": changes }))
        }
        Err(error) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "table-down", &error.to_string())
        }
    }
}

async fn show_operation(
    api: &OperatorApi,
    operator: &OperatorIdentity,
    operation: &str,
) -> ApiResponse {
    let Ok(operation) = operation.parse::<OperationId>() else {
        return not_found_response();
    };
    match api.find_operation(&operator.account, &operation).await {
        Ok(Some(row)) => json_response(
            StatusCode::OK,
            &json!({
                "outcome": "accepted",
                "revision": row.revision,
                "record": row.key.to_string(),
            }),
        ),
        Ok(None) => {
            error_response(StatusCode::NOT_FOUND, "not-found", "no such operation was accepted")
        }
        Err(error) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "table-down", &error.to_string())
        }
    }
}

async fn write_record(
    api: &OperatorApi,
    operator: &OperatorIdentity,
    request: Request<Incoming>,
) -> ApiResponse {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let Ok(body) = body else {
        return error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "invalid",
            "body is larger than 262144 bytes",
        );
    };
    let body: Value = match serde_json::from_slice(&body.to_bytes()) {
        Ok(body) => body,
        Err(error) => {
            return error_response(
                StatusCode::BAD_REQUEST,
                "invalid",
                &format!("not JSON: {error}"),
            );
        }
    };
    let request = match parse_write_request(&body) {
        Ok(request) => request,
        Err(faults) => {
            let body = json!({ "outcome": "invalid", "faults": faults });
            return json_response(StatusCode::UNPROCESSABLE_ENTITY, &body);
        }
    };
    if !may_read(operator, &request.key.account) {
        return not_found_response();
    }
    if !may_write(operator, &request.key) {
        return error_response(
            StatusCode::FORBIDDEN,
            "forbidden",
            "this key may not write records of this kind",
        );
    }
    write_response(&api.write(&request, &operator.account).await)
}

fn parse_visible_key(operator: &OperatorIdentity, text: &str) -> Option<RecordKey> {
    let key: RecordKey = text.parse().ok()?;
    may_read(operator, &key.account).then_some(key)
}

/// Parses a write request; fails with the faults of its structure.
fn parse_write_request(body: &Value) -> Result<WriteRequest, Vec<FieldFault>> {
    let fault = |path: &str, problem: &str| vec![FieldFault::new(path, problem)];
    let verb: WriteVerb = serde_json::from_value(body["verb"].clone())
        .map_err(|_| fault("$.verb", "must be put, replace or retire"))?;
    let operation = match body.get("operation").and_then(Value::as_str) {
        Some(text) => text.parse().map_err(|error| fault("$.operation", &format!("{error}")))?,
        None => OperationId::random(),
    };
    let base = match body.get("base") {
        None | Some(Value::Null) => None,
        Some(base) => {
            let number = base.as_u64();
            Some(RevisionNumber(
                number.ok_or_else(|| fault("$.base", "must be a revision number"))?,
            ))
        }
    };
    let (key, record) = parse_write_target(verb, body)?;
    Ok(WriteRequest { operation, verb, key, base, record })
}

fn parse_write_target(
    verb: WriteVerb,
    body: &Value,
) -> Result<(RecordKey, Option<VersionedRecord>), Vec<FieldFault>> {
    if verb == WriteVerb::Retire {
        let text = body["key"].as_str().unwrap_or_default();
        let key = text.parse().map_err(|fault| vec![fault])?;
        return Ok((key, None));
    }
    let record = parse_record(&body["record"])?;
    Ok((record.key.clone(), Some(record)))
}
