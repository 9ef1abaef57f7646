//! The key that comes with a request, and keeping it from going any further.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use memchr::memmem;
use percent_encoding::percent_decode_str;
use sesamebarrow_rules::KeyDigest;

/// Fields that pass from a caller to an upstream; every other stops here.
const REQUEST_FIELDS: [HeaderName; 4] = [
    hyper::header::ACCEPT,
    hyper::header::ACCEPT_LANGUAGE,
    hyper::header::CONTENT_TYPE,
    hyper::header::CONTENT_ENCODING,
];

/// Fields that pass from an upstream to a caller.
const RESPONSE_FIELDS: [HeaderName; 5] = [
    hyper::header::CONTENT_TYPE,
    hyper::header::CONTENT_ENCODING,
    hyper::header::CONTENT_LANGUAGE,
    hyper::header::CACHE_CONTROL,
    hyper::header::LOCATION,
];

/// Fewest bytes of a key: a shorter one could be found in any text.
const MIN_KEY_BYTES: usize = 8;

/// Parameters by which callers are used to pass keys elsewhere.
const KEY_PARAMETERS: [&str; 3] = ["key", "api_key", "access_token"];

/// A credential that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// More than one key came with the request.
    #[error("the request carries more than one key")]
    MultipleKeys,
    /// The field is not `Bearer` and a key.
    #[error("expected `Authorization: Bearer KEY`")]
    Malformed,
    /// The key stands where an upstream would see it.
    #[error("the key may stand only in Authorization or X-Api-Key")]
    Misplaced,
}

/// A caller's key. It is neither printed nor cloned.
pub struct Key(Vec<u8>);

impl Key {
    /// Takes the key from a request's fields.
    pub fn from_headers(headers: &HeaderMap) -> Result<Option<Self>, Error> {
        let bearer_key = headers.get_all(AUTHORIZATION).iter().map(bearer_key);
        let plain = headers
            .get_all("x-api-key")
            .iter()
            .map(|v| Ok(v.as_bytes().to_vec()));
        let mut keys = bearer_key.chain(plain).collect::<Result<Vec<_>, Error>>()?;
        let first = keys.pop();
        if !keys.is_empty() {
            return Err(Error::MultipleKeys);
        }
        match first {
            Some(key) if key.len() < MIN_KEY_BYTES => Err(Error::Malformed),
            other => Ok(other.map(Self)),
        }
    }

    /// Returns the key's digest.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }

    /// Tells whether `bytes` hold the key.
    pub fn occurs_in(&self, bytes: &[u8]) -> bool {
        memmem::find(bytes, &self.0).is_some()
    }

    /// Tells whether `path` holds the key, plain or percent-encoded.
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

/// Tells whether a query names a parameter in which callers are used to pass keys.
pub fn has_key_parameter(query: &str) -> bool {
    query.split('&').any(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        KEY_PARAMETERS.iter().any(|k| name.eq_ignore_ascii_case(k))
    })
}

/// Returns the fields of a request that may pass to an upstream.
pub fn request_fields(headers: &HeaderMap) -> HeaderMap {
    select(headers, &REQUEST_FIELDS)
}

/// Returns the fields of an answer that may pass to a caller.
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

/// Checks that no part of a request that goes on holds the key.
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
