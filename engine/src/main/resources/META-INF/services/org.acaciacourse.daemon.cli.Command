org.acaciacourse.engine.EngineCommand
