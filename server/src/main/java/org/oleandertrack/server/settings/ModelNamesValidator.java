package org.oleandertrack.server.settings;

import jakarta.validation.ConstraintValidator;
import jakarta.validation.ConstraintValidatorContext;
import java.util.HashSet;
import java.util.List;
import java.util.regex.Pattern;

/** Checks {@link ModelNames}. Stateless. */
public final class ModelNamesValidator implements ConstraintValidator<ModelNames, List<String>> {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");

    @Override
    public boolean isValid(List<String> value, ConstraintValidatorContext context) {
        if (value == null) {
            return true;
        }
        return value.stream().allMatch(name -> name != null && NAME.matcher(name).matches())
                && new HashSet<>(value).size() == value.size();
    }
}
