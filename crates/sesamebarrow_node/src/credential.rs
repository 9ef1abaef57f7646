//! Extracts the API key of a request and prevents it from reaching upstreams.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use memchr::memmem;
use percent_encoding::percent_decode_str;
use sesamebarrow_rules::KeyDigest;

/// Header fields that are passed from callers to upstreams. All others are dropped.
const REQUEST_FIELDS: [HeaderName; 4] = [
    hyper::header::ACCEPT,
    hyper::header::ACCEPT_LANGUAGE,
    hyper::header::CONTENT_TYPE,
    hyper::header::CONTENT_ENCODING,
];

/// Header fields that are passed from upstreams to callers. All others are dropped.
const RESPONSE_FIELDS: [HeaderName; 5] = [
    hyper::header::CONTENT_TYPE,
    hyper::header::CONTENT_ENCODING,
    hyper::header::CONTENT_LANGUAGE,
    hyper::header::CACHE_CONTROL,
    hyper::header::LOCATION,
];

/// Minimum length of a key. A shorter one could occur in a request by chance, which would
/// then be rejected.
const MIN_KEY_BYTES: usize = 8;

/// Query parameters that other services use for keys, so that callers might use them here.
const KEY_PARAMETERS: [&str; 3] = ["key", "api_key", "access_token"];

/// Why the credentials of a request are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request contains more than one key.
    #[error("the request carries more than one key")]
    MultipleKeys,
    /// The `Authorization` field is not `Bearer` with a key, or the key is too short.
    #[error("expected `Authorization: Bearer KEY`")]
    Malformed,
    /// A part of the request that an upstream would receive contains the key, or the query has
    /// a parameter that commonly holds one.
    #[error("the key may stand only in Authorization or X-Api-Key")]
    Misplaced,
}

/// API key of a caller. Implements neither `Debug` nor `Clone`, so that it is not logged or
/// copied.
pub struct Key(Vec<u8>);

impl Key {
    /// Reads the key from the header fields of a request.
    pub fn from_headers(headers: &HeaderMap) -> Result<Option<Self>, Error> {
        let bearer_keys = headers.get_all(AUTHORIZATION).iter().map(bearer_key);
        let plain_keys = headers
            .get_all("x-api-key")
            .iter()
            .map(|v| Ok(v.as_bytes().to_vec()));
        let mut keys = bearer_keys
            .chain(plain_keys)
            .collect::<Result<Vec<_>, Error>>()?;
        let last = keys.pop();
        if !keys.is_empty() {
            return Err(Error::MultipleKeys);
        }
        match last {
            Some(key) if key.len() < MIN_KEY_BYTES => Err(Error::Malformed),
            other => Ok(other.map(Self)),
        }
    }

    /// Returns the digest of the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }

    /// Returns whether `bytes` contain the key.
    pub fn occurs_in(&self, bytes: &[u8]) -> bool {
        memmem::find(bytes, &self.0).is_some()
    }

    /// Returns whether `path` contains the key, plain or percent-encoded.
    pub fn occurs_in_path(&self, path: &str) -> bool {
        let decoded: Vec<u8> = percent_decode_str(path).collect();
        self.occurs_in(path.as_bytes()) || self.occurs_in(&decoded)
    }
}

fn bearer_key(value: &HeaderValue) -> Result<Vec<u8>, Error> {
    let text = value.to_str().map_err(|_| Error::Malformed)?;
    let (scheme, key) = text.split_once(' ').ok_or(Error::Malformed)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() || key.contains(' ') {
        return Err(Error::Malformed);
    }
    Ok(key.as_bytes().to_vec())
}

/// Returns whether a query has a parameter that is commonly used for keys.
pub fn has_key_parameter(query: &str) -> bool {
    query.split('&').any(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        KEY_PARAMETERS.iter().any(|k| name.eq_ignore_ascii_case(k))
    })
}

/// Returns the header fields of a request that are passed to an upstream.
pub fn request_fields(headers: &HeaderMap) -> HeaderMap {
    select(headers, &REQUEST_FIELDS)
}

/// Returns the header fields of a response that are passed to a caller.
pub fn response_fields(headers: &HeaderMap) -> HeaderMap {
    select(headers, &RESPONSE_FIELDS)
}

fn select(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut selected = HeaderMap::new();
    for name in names {
        for value in headers.get_all(name) {
            selected.append(name.clone(), value.clone());
        }
    }
    selected
}

/// Checks that no part of a request that is passed to an upstream contains the key.
pub fn check_key_absent(
    key: &Key,
    path: &str,
    fields: &HeaderMap,
    body: &[u8],
) -> Result<(), Error> {
    let in_fields = fields.values().any(|v| key.occurs_in(v.as_bytes()));
    if in_fields || key.occurs_in_path(path) || key.occurs_in(body) {
        return Err(Error::Misplaced);
    }
    Ok(())
}
