//! Conversion of HTTP messages between callers' connections and upstreams'.

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_upstream::HOP_BY_HOP_HEADERS;
use http::HeaderMap;
use http::header::{self, HeaderName, HeaderValue};
use ntex::http::StatusCode;
use ntex::web::{HttpRequest, HttpResponse, HttpResponseBuilder};

use crate::buffered_response::BufferedResponse;

/// Copies a request's headers without the hop-by-hop headers, including those that `Connection`
/// names. Fails if they exceed `limit_bytes`.
pub fn copy_headers(request: &HttpRequest, limit_bytes: usize) -> Result<HeaderMap, Problem> {
    let source = request.headers();
    let named: Vec<String> = source
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::new();
    let mut bytes = 0;
    for (name, value) in source {
        let name = name.as_str();
        bytes += name.len() + value.as_bytes().len();
        if bytes > limit_bytes {
            return Err(ErrorCode::HeadersTooLarge.into());
        }
        if HOP_BY_HOP_HEADERS.contains(&name) || named.iter().any(|named| named == name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ErrorCode::InvalidHeader.into());
        };
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns the value of the `Host` header, which must occur exactly once (RFC 9112, 3.2).
pub fn read_host(headers: &HeaderMap) -> Result<&str, Problem> {
    let mut hosts = headers.get_all(header::HOST).iter();
    match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().map_err(|_| ErrorCode::InvalidHost.into()),
        _ => Err(ErrorCode::InvalidHost.into()),
    }
}

/// Copies an upstream's headers to a response, without the hop-by-hop headers.
pub fn write_headers(headers: &HeaderMap, response: &mut HttpResponseBuilder) {
    for (name, value) in headers {
        if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            response.header(name.as_str(), value.as_bytes());
        }
    }
}

/// Converts a complete response of an upstream to a response for the caller.
pub fn write_buffered(buffered: &BufferedResponse) -> HttpResponse {
    let status = StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    write_headers(&buffered.headers, &mut response);
    response.body(ntex::util::Bytes::copy_from_slice(&buffered.body))
}
