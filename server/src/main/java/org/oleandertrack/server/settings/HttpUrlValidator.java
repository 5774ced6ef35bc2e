package org.oleandertrack.server.settings;

import jakarta.validation.ConstraintValidator;
import jakarta.validation.ConstraintValidatorContext;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Set;

/** Checks {@link HttpUrl}. Stateless. */
public final class HttpUrlValidator implements ConstraintValidator<HttpUrl, String> {

    private static final Set<String> SCHEMES = Set.of("http", "https");

    @Override
    public boolean isValid(String value, ConstraintValidatorContext context) {
        return value == null || isHttpUrl(value);
    }

    /** Returns whether the text is a URL that {@link HttpUrl} accepts. */
    public static boolean isHttpUrl(String value) {
        try {
            URI uri = new URI(value);
            return uri.getScheme() != null
                    && SCHEMES.contains(uri.getScheme())
                    && uri.getUserInfo() == null
                    && uri.getQuery() == null
                    && uri.getFragment() == null
                    && uri.getHost() != null
                    && uri.getPort() <= 65_535
                    && IpAddressValidator.isIpAddress(withoutBrackets(uri.getHost()));
        } catch (URISyntaxException e) {
            return false;
        }
    }

    private static String withoutBrackets(String host) {
        return host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
    }
}
