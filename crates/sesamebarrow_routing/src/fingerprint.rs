//! Identifies a request that comes again: same target, customer and body, whatever its id and its other headers.

/// What a fingerprint is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name, in any case.
    pub host: &'a str,
    /// Path and query.
    pub path_and_query: &'a str,
    /// Name of the customer; empty if there is none.
    pub customer: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

/// Returns the fingerprint of a request, the same at all instances.
pub fn of_request(content: &Content<'_>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let host = content.host.to_ascii_lowercase();
    let fields = [
        content.method,
        &host,
        content.path_and_query,
        content.customer,
    ];
    for field in fields {
        // The lengths keep the end of a field from being taken for the start of the next one.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(content.body);
    let mut output = [0; 8];
    hasher.finalize_xof().fill(&mut output);
    u64::from_le_bytes(output)
}
