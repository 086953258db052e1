org.acaciacourse.engine.EngineCommand
org.acaciacourse.engine.LocalCommand
