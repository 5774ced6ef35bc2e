package org.oleandertrack.server.settings;

import jakarta.validation.Constraint;
import jakarta.validation.Payload;
import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Accepts absolute HTTP and HTTPS URLs whose host is an IP address. User info, query and fragment
 * are not allowed.
 */
@Documented
@Target(ElementType.FIELD)
@Retention(RetentionPolicy.RUNTIME)
@Constraint(validatedBy = HttpUrlValidator.class)
public @interface HttpUrl {
    /** Returns the form of accepted values, for messages and the settings page. */
    String message() default "an http or https URL whose host is an IP number";

    /** Returns the validation groups; none are used. */
    Class<?>[] groups() default {};

    /** Returns the payload; none is used. */
    Class<? extends Payload>[] payload() default {};
}
