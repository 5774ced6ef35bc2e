package org.oleandertrack.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Headers of a decoded message, limited in number. A limit on their bytes alone does not bound the
 * memory, because an object for each short field takes many times the field's bytes.
 */
final class LimitedHeaders extends DefaultHttpHeaders {

    private static final int MAX_FIELDS = 256;

    private LimitedHeaders(DefaultHttpHeadersFactory defaults) {
        super(defaults.getNameValidator(), defaults.getValueValidator());
    }

    /** Limits the fields of heads and trailers. */
    static HttpDecoderConfig configure(HttpDecoderConfig config) {
        return config.setHeadersFactory(new Factory(DefaultHttpHeadersFactory.headersFactory()))
                .setTrailersFactory(new Factory(DefaultHttpHeadersFactory.trailersFactory()));
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " fields");
        }
        return super.add(name, value);
    }

    /** Creates headers with the validation of Netty's own factories. */
    private record Factory(DefaultHttpHeadersFactory defaults) implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new LimitedHeaders(defaults);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new LimitedHeaders(defaults);
        }
    }
}
