//! A server's reply counts only if it is whole, signed and to this request.

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::single;
use crate::support::{Bed, run};

/// The near server answers badly, the far one well: the caller gets the good answer and never a part
/// of the bad one.
async fn assert_never_handed_on(bad: Behaviour) {
    let mut bed = Bed::new().await;
    bed.serve("search", &[bad.clone(), Behaviour::answer("good")])
        .await;
    bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
        .await;
    for number in 0..4 {
        let answer = bed.get(&format!("{number}"), "/q/x").await;
        assert_eq!(answer.status, StatusCode::OK, "{bad:?}");
        assert_eq!(&answer.body[..], b"good", "{bad:?}");
        assert!(
            answer
                .header("sablehaven-stamp")
                .is_some_and(|stamp| stamp.starts_with("search-1"))
        );
    }
}

#[test]
fn bad_replies_are_never_handed_on() {
    let bad = [
        Behaviour::CutOff,
        Behaviour::Reset,
        Behaviour::Close,
        Behaviour::Garbage,
        Behaviour::UnframedReset,
        Behaviour::OtherRequest,
        Behaviour::Encoded,
        Behaviour::Unsigned,
        Behaviour::Shed,
        Behaviour::Misdirected,
        Behaviour::Unavailable,
        Behaviour::Fail,
        Behaviour::Silent,
    ];
    for bad in bad {
        run(assert_never_handed_on(bad));
    }
}

#[test]
fn every_framing_of_a_whole_body_is_handed_on_unchanged() {
    let body = b"a body of some length".to_vec();
    let framings = [
        Behaviour::answer(body.clone()),
        Behaviour::Chunked { body: body.clone() },
        Behaviour::Unframed { body: body.clone() },
    ];
    for framing in framings {
        let body = body.clone();
        run(async move {
            let mut bed = Bed::new().await;
            bed.serve("search", std::slice::from_ref(&framing)).await;
            bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
                .await;
            for number in 0..3 {
                let answer = bed.get(&format!("{number}"), "/q/x").await;
                assert_eq!(answer.status, StatusCode::OK, "{framing:?}");
                assert_eq!(answer.body[..], body[..], "{framing:?}");
            }
        });
    }
}

#[test]
fn a_surplus_answer_belongs_to_no_request() {
    run(async {
        let mut bed = Bed::new().await;
        let surplus = Behaviour::Surplus {
            body: b"mine".to_vec(),
        };
        bed.serve("search", &[surplus]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..20 {
            let answer = bed.get(&format!("{number}"), "/q/x").await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(&answer.body[..], b"mine");
        }
    });
}

#[test]
fn a_server_s_own_failure_is_handed_back_as_it_came() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::Fail, Behaviour::Fail])
            .await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let answer = bed.get("1", "/q/x").await;
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(&answer.body[..], b"failed");
        assert!(answer.header("sablehaven-stamp").is_some());
    });
}

#[test]
fn the_request_reaches_the_server_as_it_was_sent() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::answer("ok")]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let headers = [
            ("x-own", "kept"),
            ("connection", "x-hop"),
            ("x-hop", "dropped"),
            ("sablehaven-deadline-ms", "900"),
            ("sablehaven-expect-instance", "forged"),
        ];
        let answer = bed
            .send("id-7", "POST", "/q/a%20b?c=%2F&d", &headers, "the body")
            .await;
        assert_eq!(answer.status, StatusCode::OK);
        let seen = bed.server("search", 0).seen();
        let seen = &seen[0];
        assert_eq!(seen.method, "POST");
        assert_eq!(seen.target, "/q/a%20b?c=%2F&d");
        assert_eq!(seen.body, b"the body");
        assert_eq!(seen.header("sablehaven-request-id"), Some("id-7"));
        assert_eq!(seen.header("x-own"), Some("kept"));
        assert_eq!(seen.header("x-hop"), None);
        assert_eq!(seen.header("sablehaven-expect-instance"), Some("search-0"));
        let left: u64 = seen
            .header("sablehaven-deadline-ms")
            .and_then(|text| text.parse().ok())
            .expect("a deadline");
        assert!((1..=900).contains(&left), "{left}");
    });
}
