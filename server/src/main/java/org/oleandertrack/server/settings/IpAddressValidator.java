package org.oleandertrack.server.settings;

import jakarta.validation.ConstraintValidator;
import jakarta.validation.ConstraintValidatorContext;
import java.net.InetAddress;
import java.util.regex.Pattern;

/** Checks {@link IpAddress}. Stateless. */
public final class IpAddressValidator implements ConstraintValidator<IpAddress, String> {

    // InetAddress.ofLiteral also accepts IPv4 addresses with fewer than four parts, such as 127.1.
    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");

    @Override
    public boolean isValid(String value, ConstraintValidatorContext context) {
        return value == null || isIpAddress(value);
    }

    static boolean isIpAddress(String value) {
        if (!IPV4.matcher(value).matches() && !value.contains(":")) {
            return false;
        }
        if (value.contains("%") || value.contains("[")) {
            return false;
        }
        try {
            InetAddress.ofLiteral(value);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
