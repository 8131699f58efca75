use super::*;

#[test]
fn transient_errors_are_retried_at_start() {
    let mut errors = [EMFILE, ENOBUFS, EIO].into_iter();
    let result = retry_at_start(is_transient_read_error, || match errors.next() {
        Some(errno) => Err(Error::from_raw_os_error(errno)),
        None => Ok(7),
    });
    assert_eq!(result.unwrap(), 7);
}

#[test]
fn permanent_errors_are_returned_at_once() {
    let mut attempts = 0;
    let result: Result<(), Error> = retry_at_start(is_resource_shortage, || {
        attempts += 1;
        Err(ErrorKind::AddrInUse.into())
    });
    assert_eq!((result.unwrap_err().kind(), attempts), (ErrorKind::AddrInUse, 1));
    assert!(!is_transient_read_error(&ErrorKind::NotFound.into()));
}
