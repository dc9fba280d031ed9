use super::{BodyLength, ReadAhead};

const READ: &str = "GET /read/1 HTTP/1.1\r\nhost: a\r\n\r\n";
const OTHER: &str = "GET /read/22 HTTP/1.1\r\n\r\n";
const NO_BODY: BodyLength = BodyLength::Known(0);

/// Receives bytes, and returns those that are passed on.
fn receive(connection: &mut ReadAhead<u8>, text: &str) -> String {
    let passed = connection.pass_received(text.as_bytes());
    connection.hold(&text.as_bytes()[passed..]);
    text[..passed].to_owned()
}

/// Returns the held bytes that are passed on in one read.
fn pass_held(connection: &mut ReadAhead<u8>, max_bytes: usize) -> String {
    let mut passed = String::new();
    connection.pass_held(max_bytes, |bytes| passed = String::from_utf8_lossy(bytes).into());
    passed
}

fn next_head(connection: &mut ReadAhead<u8>) -> Option<String> {
    connection.next_head().map(|head| String::from_utf8_lossy(head).into())
}

#[test]
fn each_read_ends_with_a_head() {
    let mut connection = ReadAhead::new();
    assert_eq!(receive(&mut connection, &format!("{READ}{OTHER}{READ}")), READ);
    assert!(connection.begin_request(NO_BODY, true).is_none());
    assert!(!connection.may_pass(), "the next head waits for the response");
    connection.end_response();
    assert_eq!(pass_held(&mut connection, 1_000), OTHER);
    connection.begin_request(NO_BODY, true);
    connection.end_response();
    assert_eq!(pass_held(&mut connection, 1_000), READ);
    assert_eq!(connection.held_bytes(), 0);
}

#[test]
fn heads_are_found_wherever_they_are_cut() {
    let text = format!("{READ}{OTHER}");
    for cut in 0..=text.len() {
        let mut connection = ReadAhead::new();
        receive(&mut connection, READ);
        connection.begin_request(NO_BODY, true);
        let mut heads = Vec::new();
        for part in [&text[..cut], &text[cut..]] {
            connection.hold(part.as_bytes());
            while let Some(head) = next_head(&mut connection) {
                heads.push(head);
                connection.start(heads.len() as u8);
            }
        }
        assert_eq!(heads, [READ, OTHER], "cut at byte {cut}");
    }
}

#[test]
fn started_requests_are_returned_in_order_whatever_the_size_of_reads() {
    for max_bytes in [1, 7, READ.len(), 1_000] {
        let mut connection = ReadAhead::new();
        receive(&mut connection, &format!("{READ}{OTHER}{READ}GET"));
        connection.begin_request(NO_BODY, true);
        for number in [1, 2] {
            assert!(connection.next_head().is_some());
            connection.start(number);
        }
        assert_eq!(next_head(&mut connection), None, "the last head is incomplete");
        for (number, head) in [(1, OTHER), (2, READ)] {
            connection.end_response();
            let mut passed = String::new();
            while passed.len() < head.len() {
                passed += &pass_held(&mut connection, max_bytes);
            }
            assert_eq!(passed, head);
            assert_eq!(connection.begin_request(NO_BODY, true), Some(number));
        }
        assert_eq!((connection.started_count(), connection.held_bytes()), (0, 3));
    }
}

#[test]
fn nothing_behind_a_barred_head_is_found_until_its_turn() {
    let mut connection = ReadAhead::new();
    receive(&mut connection, &format!("{READ}{OTHER}{READ}{READ}"));
    connection.begin_request(NO_BODY, true);
    assert!(connection.next_head().is_some());
    connection.bar();
    assert_eq!(next_head(&mut connection), None);
    connection.end_response();
    assert_eq!(pass_held(&mut connection, 1_000), OTHER);
    connection.begin_request(NO_BODY, false);
    assert_eq!(next_head(&mut connection), None, "nothing overlaps with this request");
    connection.end_response();
    assert_eq!(pass_held(&mut connection, 1_000), READ);
    connection.begin_request(NO_BODY, true);
    assert_eq!(next_head(&mut connection).as_deref(), Some(READ));
}

#[test]
fn body_with_blank_lines_is_passed_to_its_end() {
    const HEAD: &str = "POST /order/1 HTTP/1.1\r\ncontent-length: 6\r\n\r\n";
    let mut connection = ReadAhead::new();
    assert_eq!(receive(&mut connection, &format!("{HEAD}\n\n")), HEAD);
    connection.begin_request(BodyLength::Known(6), false);
    assert!(connection.may_pass());
    assert_eq!(pass_held(&mut connection, 1_000), "\n\n");
    assert_eq!(receive(&mut connection, &format!("\n\n\n\n{READ}")), "\n\n\n\n");
    assert!(!connection.may_pass());
    assert_eq!(connection.held_bytes(), READ.len());
}

#[test]
fn nothing_is_held_behind_a_body_of_unknown_length() {
    let mut connection = ReadAhead::new();
    receive(&mut connection, READ);
    connection.begin_request(BodyLength::Unknown, false);
    assert!(connection.may_pass());
    let rest = format!("0\r\n\r\n{READ}");
    assert_eq!(receive(&mut connection, &rest), rest);
}

#[test]
fn nothing_behind_a_started_request_is_found_once_that_is_barred() {
    let mut connection = ReadAhead::new();
    receive(&mut connection, &format!("{READ}{OTHER}{READ}"));
    connection.begin_request(NO_BODY, true);
    assert_eq!(next_head(&mut connection).as_deref(), Some(OTHER));
    connection.start(1);
    connection.bar_following();
    assert_eq!(next_head(&mut connection), None);
    connection.end_response();
    assert_eq!(pass_held(&mut connection, 1_000), OTHER);
    assert_eq!(connection.begin_request(NO_BODY, false), Some(1));
    assert_eq!(next_head(&mut connection), None);
    connection.end_response();
    assert_eq!(pass_held(&mut connection, 1_000), READ);
}
