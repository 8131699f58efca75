use super::*;

#[test]
fn a_start_tries_again_while_this_machine_lacks_something() {
    let mut left = [EMFILE, ENOBUFS, EIO].into_iter();
    let tried = retry_at_start(is_transient_read_error, || match left.next() {
        Some(errno) => Err(Error::from_raw_os_error(errno)),
        None => Ok(7),
    });
    assert_eq!(tried.unwrap(), 7);
}

#[test]
fn what_is_wrong_for_good_ends_a_start_at_once() {
    let mut tries = 0;
    let tried: Result<(), Error> = retry_at_start(is_resource_shortage, || {
        tries += 1;
        Err(ErrorKind::AddrInUse.into())
    });
    assert_eq!((tried.unwrap_err().kind(), tries), (ErrorKind::AddrInUse, 1));
    assert!(!is_transient_read_error(&ErrorKind::NotFound.into()));
}
