package org.oleandertrack.server.settings;

import jakarta.validation.Constraint;
import jakarta.validation.Payload;
import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Accepts IPv4 and IPv6 addresses in numeric form. Host names are refused, so that no process
 * depends on name resolution when it starts.
 */
@Documented
@Target(ElementType.FIELD)
@Retention(RetentionPolicy.RUNTIME)
@Constraint(validatedBy = IpAddressValidator.class)
public @interface IpAddress {
    /** Returns the form of accepted values, for messages and the settings page. */
    String message() default "an IP number such as 10.0.0.1 or ::1";

    /** Returns the validation groups; none are used. */
    Class<?>[] groups() default {};

    /** Returns the payload; none is used. */
    Class<? extends Payload>[] payload() default {};
}
