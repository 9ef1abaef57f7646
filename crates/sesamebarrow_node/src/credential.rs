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
const ANSWER_FIELDS: [HeaderName; 5] = [
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
    Two,
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
    pub fn take(headers: &HeaderMap) -> Result<Option<Self>, Error> {
        let bearer = headers.get_all(AUTHORIZATION).iter().map(bearer);
        let plain = headers
            .get_all("x-api-key")
            .iter()
            .map(|v| Ok(v.as_bytes().to_vec()));
        let mut keys = bearer.chain(plain).collect::<Result<Vec<_>, Error>>()?;
        let first = keys.pop();
        if !keys.is_empty() {
            return Err(Error::Two);
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
    pub fn is_in(&self, bytes: &[u8]) -> bool {
        memmem::find(bytes, &self.0).is_some()
    }

    /// Tells whether `path` holds the key, plain or percent-encoded.
    pub fn is_in_path(&self, path: &str) -> bool {
        let decoded: Vec<u8> = percent_decode_str(path).collect();
        self.is_in(path.as_bytes()) || self.is_in(&decoded)
    }
}

fn bearer(value: &HeaderValue) -> Result<Vec<u8>, Error> {
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
    pick(headers, &REQUEST_FIELDS)
}

/// Returns the fields of an answer that may pass to a caller.
pub fn answer_fields(headers: &HeaderMap) -> HeaderMap {
    pick(headers, &ANSWER_FIELDS)
}

fn pick(headers: &HeaderMap, names: &[HeaderName]) -> HeaderMap {
    let mut picked = HeaderMap::new();
    for name in names {
        for value in headers.get_all(name) {
            picked.append(name.clone(), value.clone());
        }
    }
    picked
}

/// Checks that no part of a request that goes on holds the key.
pub fn check_placement(
    key: &Key,
    path: &str,
    fields: &HeaderMap,
    body: &[u8],
) -> Result<(), Error> {
    let in_fields = fields.values().any(|v| key.is_in(v.as_bytes()));
    if in_fields || key.is_in_path(path) || key.is_in(body) {
        return Err(Error::Misplaced);
    }
    Ok(())
}
