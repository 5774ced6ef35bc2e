package org.oleandertrack.server.settings;

import jakarta.validation.Constraint;
import jakarta.validation.Payload;
import jakarta.validation.ReportAsSingleViolation;
import jakarta.validation.constraints.Pattern;
import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Accepts names that can be used in table keys and log fields. */
@Documented
@Target(ElementType.FIELD)
@Retention(RetentionPolicy.RUNTIME)
@Constraint(validatedBy = {})
@ReportAsSingleViolation
@Pattern(regexp = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
public @interface Identifier {
    /** Returns the form of accepted values, for messages and the settings page. */
    String message() default
            "1 to 63 of the characters A-Z a-z 0-9 . _ - with a letter or digit first";

    /** Returns the validation groups; none are used. */
    Class<?>[] groups() default {};

    /** Returns the payload; none is used. */
    Class<? extends Payload>[] payload() default {};
}
