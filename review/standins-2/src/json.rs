//! The part of JSON that the store's protocol needs.

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            control if u32::from(control) < 0x20 => {
                quoted.push_str(&format!("\\u{:04x}", u32::from(control)));
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

/// Returns bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(char::from(DIGITS[(number >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
