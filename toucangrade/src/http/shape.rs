//! Counts the values of a JSON text before anything is built from it.

/// Error of a JSON text with more values than allowed.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the body has more than {limit} values")]
pub struct TooManyValues {
    /// Largest number of values.
    pub limit: usize,
}

/// Checks that a JSON text has at most `limit` values, without decoding it.
///
/// Each value but the first of a container follows a comma, so commas and opening brackets outside
/// of texts are counted. A text that is no JSON is left to the decoder.
///
/// # Errors
///
/// [`TooManyValues`] once the limit is passed; the rest isn't scanned.
pub fn check_values(text: &[u8], limit: usize) -> Result<(), TooManyValues> {
    // No text has more values than bytes, so ordinary bodies aren't scanned.
    if text.len() <= limit {
        return Ok(());
    }
    let (mut count, mut quoted, mut escaped) = (1_usize, false, false);
    for &byte in text {
        if quoted {
            quoted = escaped || byte != b'"';
            escaped = byte == b'\\' && !escaped;
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b',' | b'[' | b'{' => {
                count += 1;
                if count > limit {
                    return Err(TooManyValues { limit });
                }
            },
            _ => {},
        }
    }
    Ok(())
}
