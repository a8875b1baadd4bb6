//! Splits a JSON array or object into its elements without decoding them, so that one malformed
//! element doesn't make the others unreadable.

/// Iterator over the raw bytes of the entries of an array or the members of an object.
///
/// It scans for quotes, brackets and commas only, without recursion, and ignores all other bytes.
/// Entries are therefore separated even if a decoder accepts none of them.
#[derive(Clone, Debug)]
pub struct Parts<'a> {
    rest: Option<&'a [u8]>,
}

impl<'a> Parts<'a> {
    /// Splits an array into its entries; `None` if the text is no array.
    pub fn entries(text: &'a [u8]) -> Option<Self> {
        Self::parse(text, b'[')
    }

    /// Splits an object into its members; `None` if the text is no object.
    pub fn members(text: &'a [u8]) -> Option<Self> {
        Self::parse(text, b'{')
    }

    fn parse(text: &'a [u8], open: u8) -> Option<Self> {
        let inner = text.trim_ascii().strip_prefix(&[open])?.trim_ascii_start();
        let empty = matches!(inner, [b']' | b'}']);
        Some(Self { rest: (!empty).then_some(inner) })
    }
}

impl<'a> Iterator for Parts<'a> {
    type Item = Result<&'a [u8], &'static str>;

    fn next(&mut self) -> Option<Self::Item> {
        let rest = self.rest.take()?;
        let (mut depth, mut quoted, mut escaped) = (0_usize, false, false);
        for (at, &byte) in rest.iter().enumerate() {
            if quoted {
                quoted = escaped || byte != b'"';
                escaped = byte == b'\\' && !escaped;
                continue;
            }
            match byte {
                b'"' => quoted = true,
                b'[' | b'{' => depth += 1,
                b',' if depth == 0 => {
                    self.rest = Some(&rest[at + 1..]);
                    return Some(Ok(rest[..at].trim_ascii()));
                },
                b']' | b'}' if depth > 0 => depth -= 1,
                b']' | b'}' if at + 1 == rest.len() => return Some(Ok(rest[..at].trim_ascii())),
                b']' | b'}' => return Some(Err("more brackets are closed than opened")),
                _ => {},
            }
        }
        Some(Err("brackets or quotes are left open"))
    }
}
