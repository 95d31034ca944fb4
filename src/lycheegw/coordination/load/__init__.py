"""Decisions under load: estimates, balancing, backlogs and admission."""
