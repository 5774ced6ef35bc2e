package org.oleandertrack.server.settings;

import jakarta.validation.Constraint;
import jakarta.validation.Payload;
import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Accepts lists of distinct model names. */
@Documented
@Target(ElementType.FIELD)
@Retention(RetentionPolicy.RUNTIME)
@Constraint(validatedBy = ModelNamesValidator.class)
public @interface ModelNames {
    /** Returns the form of accepted values, for messages and the settings page. */
    String message() default
            "distinct names of 1 to 128 of the characters A-Z a-z 0-9 . _ : / - with a letter or"
                    + " digit first";

    /** Returns the validation groups; none are used. */
    Class<?>[] groups() default {};

    /** Returns the payload; none is used. */
    Class<? extends Payload>[] payload() default {};
}
