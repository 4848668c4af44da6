"""Operations behind the commands."""
