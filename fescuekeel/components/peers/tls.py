"""TLS contexts for connections between instances."""

import ssl

from fescuekeel.helpers.settings import PeersSettings

__all__ = ["make_client_context", "make_server_context"]


def make_server_context(settings: PeersSettings) -> ssl.SSLContext | None:
    """Return the accepting side's context, or ``None`` without TLS.

    If a CA is set, the connecting side must present a certificate.
    """
    if not settings.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key or None)
    if settings.tls_ca:
        context.load_verify_locations(settings.tls_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(settings: PeersSettings) -> ssl.SSLContext | None:
    """Return the connecting side's context, or ``None`` without TLS.

    Hostnames are not checked because instances connect by IP address; frame
    signatures authenticate the peer.
    """
    if not settings.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_cert_chain(settings.tls_certificate, settings.tls_key or None)
    context.load_verify_locations(settings.tls_ca or settings.tls_certificate)
    return context
